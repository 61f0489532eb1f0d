/**
 * Reads the ledgers of the targets of a rig and checks what callers were told against them.
 */
import type {Rig} from '../rig/rig.ts';
import type {SoakJob} from './callers.ts';

/** Number of starts by job id and task index. */
export type Ledger = ReadonlyMap<string, ReadonlyMap<number, number>>;

type LedgerEntry = {readonly job: string; readonly task: number};

const provedOutcomes = new Set(['complete', 'failed', 'not-run']);

/**
 * Reads the starts at all targets of a rig.
 *
 * @param rig - The rig.
 * @returns The starts.
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
 * Lists the promises broken for one job.
 *
 * @param job - The job with all that was told of it.
 * @param ledger - The starts at all targets.
 * @returns One sentence for each broken promise.
 */
export function listJobViolations({id, tasks, answers}: SoakJob, ledger: Ledger): string[] {
	const started = ledger.get(id)?.size ?? 0;
	const proved = new Set(answers.filter(({outcome, scope}) => scope === 'job' && provedOutcomes.has(outcome)).map(({outcome}) => outcome));
	const violations = [
		...[...ledger.get(id) ?? []].filter(([, starts]) => starts > 1).map(([task, starts]) => `task ${task} started ${starts} times`),
		...(proved.size > 1 ? [`told ${[...proved].join(' and ')}`] : []),
		...(proved.has('not-run') && started > 0 ? [`told not-run with ${started} starts`] : []),
		...(proved.has('complete') && started !== tasks ? [`told complete with ${started} of ${tasks} starts`] : []),
		...(answers.some(({hasValidResults}) => !hasValidResults) ? ['told a partial or foreign answer'] : []),
		...(answers.some(({outcome}) => outcome === 'none') ? ['told no outcome'] : []),
	];
	return violations.map(violation => `job ${id}: ${violation}`);
}
