/**
 * Reads the targets' ledgers of started tasks and checks the callers' answers against them.
 */
import type {Rig} from '../rig/rig.ts';
import type {SoakJob} from './callers.ts';

/** Number of starts of each task, by job id and task index. */
export type Ledger = ReadonlyMap<string, ReadonlyMap<number, number>>;

type LedgerEntry = {readonly job: string; readonly task: number};

/** Final outcomes: all answers of scope `job` that state one of them must state the same one. */
const finalOutcomes = new Set(['complete', 'failed', 'not-run']);

/**
 * Reads the ledgers of all targets of a rig.
 *
 * @param rig - The rig.
 * @returns One ledger of all starts.
 */
export async function readLedger(rig: Rig): Promise<Ledger> {
	const ledger = new Map<string, Map<number, number>>();
	for (const target of rig.listTargets()) {
		const response = await fetch(`http://${target}/ledger`);
		for (const {job, task} of await response.json() as LedgerEntry[]) {
			const tasks = ledger.get(job) ?? new Map<number, number>();
			tasks.set(Number(task), (tasks.get(Number(task)) ?? 0) + 1);
			ledger.set(job, tasks);
		}
	}

	return ledger;
}

/**
 * Counts all starts of a ledger.
 *
 * @param ledger - The ledger.
 * @returns The number of starts.
 */
export function countStarts(ledger: Ledger): number {
	let starts = 0;
	for (const tasks of ledger.values()) {
		for (const count of tasks.values()) {
			starts += count;
		}
	}

	return starts;
}

/**
 * Lists the guarantees that were violated for one job.
 *
 * @param job - The job with the answers to all calls for it.
 * @param ledger - The starts at all targets.
 * @returns One message for each violation.
 */
export function listJobViolations({id, tasks, answers}: SoakJob, ledger: Ledger): string[] {
	const started = ledger.get(id)?.size ?? 0;
	const outcomes = new Set(answers.filter(({outcome, scope}) => scope === 'job' && finalOutcomes.has(outcome)).map(({outcome}) => outcome));
	const violations = [
		...[...ledger.get(id) ?? []].filter(([, starts]) => starts > 1).map(([task, starts]) => `task ${task} started ${starts} times`),
		...(outcomes.size > 1 ? [`reported as ${[...outcomes].join(' and ')}`] : []),
		...(outcomes.has('not-run') && started > 0 ? [`reported as not-run, but ${started} tasks were started`] : []),
		...(outcomes.has('complete') && started !== tasks ? [`reported as complete, but ${started} of ${tasks} tasks were started`] : []),
		...(answers.some(({hasValidResults}) => !hasValidResults) ? ['a complete answer has missing or wrong results'] : []),
		...(answers.some(({outcome}) => outcome === 'none') ? ['an answer has no outcome'] : []),
	];
	return violations.map(violation => `job ${id}: ${violation}`);
}
