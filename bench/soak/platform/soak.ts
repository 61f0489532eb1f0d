/**
 * Runs callers and faults against the platform's processes for a given time, and judges what workers and callers saw.
 */
import {loadavg} from 'node:os';
import process from 'node:process';
import {setTimeout as waitFor} from 'node:timers/promises';
import type {Milliseconds} from '../../../src/ports/clock.ts';
import {createSeededRandom} from '../../../src/ports/random.ts';
import {PlatformCallers} from './callers.ts';
import {
	bounds, PlatformFleet, proxiedPaths, workerCpu,
} from './fleet.ts';
import {taskCpu} from './jobs.ts';
import {listFindings} from './judge.ts';
import {LagMonitor} from './lag.ts';
import {drawPlan, runPlan} from './plan.ts';
import {writeRecord} from './records.ts';
import type {
	Finding, InjectedFault, PlannedFault, PlatformSoakOptions, SoakJob,
} from './types.ts';

/** Result of a run. */
export type PlatformSoakReport = {
	readonly jobs: number;
	readonly submissions: number;
	readonly starts: number;
	/** Number of injected faults. */
	readonly faults: number;
	/** Number of submissions by result. */
	readonly results: Readonly<Record<string, number>>;
	/** Share of the jobs that were answered 200. */
	readonly servedShare: number;
	/** Greatest delay of the soak test's own event loop, in ms, and the machine's load. */
	readonly maxLagMs: Milliseconds;
	readonly load: number;
	/** Processor time of the soak test itself, in ms. */
	readonly processorMs: Milliseconds;
	/** Number of findings by rule. */
	readonly broken: Readonly<Record<string, number>>;
	readonly findings: readonly Finding[];
	/** Folder with settings and logs of the processes, plan and timeline. */
	readonly folder: string;
};

/** Interval in which processes that ended by themselves are started again, in ms. */
const reviveMs = 500;

/** Load after the recovery, in ms. */
const recoveredLoadMs = 3000;

/** Time in which processes write their last log lines. */
const logFlushMs = 300;

function countBy<Item>(items: Iterable<Item>, getKey: (item: Item) => string): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const item of items) {
		const key = getKey(item);
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
}

function listProcessFindings(fleet: PlatformFleet): Finding[] {
	return fleet.processes.flatMap(({name, faultyEnds}) => faultyEnds.map(end => ({
		rule: 'ENDED', at: Date.parse(end.split(' ', 1)[0]), text: `${name} ended by itself: ${end}`, jobs: [],
	})));
}

/** One run on a fleet that has started. */
class SoakRun {
	constructor(private readonly fleet: PlatformFleet, private readonly options: PlatformSoakOptions, private readonly plan: readonly PlannedFault[]) {}

	async run(): Promise<PlatformSoakReport> {
		const {fleet, options} = this;
		using lag = new LagMonitor();
		const reviver = setInterval(() => {
			for (const child of fleet.processes) {
				child.revive();
			}
		}, reviveMs);
		const isLinked = await fleet.waitUntilLinked();
		await using callers = new PlatformCallers({
			entries: fleet.listEntries(), random: createSeededRandom(options.seed + 1), rate: options.rate, resubmitMs: bounds.RetransmitMs,
		});
		const load = callers.run();
		const faults = await runPlan(fleet, isLinked ? this.plan : [], isLinked ? options.durationMs : 0);
		await waitFor(options.recoveryMs === 0 ? 0 : options.recoveryMs + recoveredLoadMs);
		callers.stop();
		await load;
		clearInterval(reviver);
		const report = await this.#report(callers, faults, lag, isLinked);
		return report;
	}

	async #report(callers: PlatformCallers, faults: readonly InjectedFault[], lag: LagMonitor, isLinked: boolean): Promise<PlatformSoakReport> {
		const {fleet, options, plan} = this;
		const starts = fleet.workers.flatMap(worker => worker.starts).sort((left, right) => left.startedAt - right.startedAt);
		const findings = [
			...(isLinked
				? []
				: [{
					rule: 'START', at: Date.now(), text: 'the fleet is not linked in time', jobs: [],
				}]),
			...listProcessFindings(fleet),
			...listFindings({
				jobs: callers.jobs, starts, faults, maxRuns: workerCpu / taskCpu, endsAt: Date.now(), recoveryMs: options.recoveryMs,
			}),
		].map(finding => ({...finding, lagMs: lag.getLag(finding.at)}));
		const jobs = [...callers.jobs.values()];
		const submissions = jobs.flatMap(job => job.submissions);
		const report: PlatformSoakReport = {
			jobs: jobs.length,
			submissions: submissions.length,
			starts: starts.length,
			faults: faults.length,
			results: countBy(submissions, ({result, state}) => `${result} ${state ?? ''}`.trim()),
			servedShare: countServed(jobs) / Math.max(1, jobs.length),
			maxLagMs: lag.getMaxLag(),
			load: loadavg()[0],
			processorMs: (process.cpuUsage().user + process.cpuUsage().system) / 1000,
			broken: countBy(findings, ({rule}) => rule),
			findings,
			folder: fleet.folder,
		};
		await waitFor(logFlushMs);
		await writeRecord(fleet, callers.jobs, {
			options, plan, faults, report,
		});
		return report;
	}
}

function countServed(jobs: readonly SoakJob[]): number {
	return jobs.filter(({submissions}) => submissions.some(({result}) => result === 200)).length;
}

/**
 * Runs the soak test.
 *
 * @param options - Size, seed and faults.
 * @param plan - The faults; drawn from the seed unless they are those of an earlier run.
 * @returns The report.
 */
export async function runPlatformSoak(options: PlatformSoakOptions, plan: readonly PlannedFault[] = drawPlan(options)): Promise<PlatformSoakReport> {
	await using fleet = await PlatformFleet.start({...options, proxied: new Set(proxiedPaths.filter(path => path === 'caller' || plan.some(({name}) => name.startsWith(`${path}-path`))))});
	const report = await new SoakRun(fleet, options, plan).run();
	return report;
}
