/**
 * Runs callers and faults against separate processes for a given time, and checks the answers against the targets' ledgers.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import {createRigCustomer, Rig} from '../rig/rig.ts';
import {Callers, type SoakJob} from './callers.ts';
import {faults} from './faults.ts';
import {countStarts, listJobViolations, readLedger} from './ledger.ts';

/** Size, duration and faults of a soak test. */
export type SoakOptions = {
	readonly seed: number;
	readonly durationMs: number;
	readonly entries: number;
	readonly agents: number;
	/** Number of callers; each runs one job at a time. */
	readonly callers: number;
	/** Names of the faults to inject; empty for none. */
	readonly faults: readonly string[];
	/** Mean time from the end of a fault to the next. */
	readonly faultIntervalMs: number;
	readonly useBinary: boolean;
};

/** Result of a soak test. */
export type SoakReport = {
	readonly jobs: number;
	readonly calls: number;
	readonly starts: number;
	readonly faults: Readonly<Record<string, number>>;
	/** Number of answers by outcome and reason. */
	readonly told: Readonly<Record<string, number>>;
	readonly slowestMs: number;
	/** Violated guarantees; empty if all held. */
	readonly violations: readonly string[];
	/** Folder with the settings and logs of the processes. */
	readonly logs: string;
};

const deadlineMs = 4000;
const maxTasks = 24;
const maxRunMs = 80;

function countAnswers(jobs: Iterable<SoakJob>): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {outcome, reason} of [...jobs].flatMap(({answers}) => answers)) {
		const key = outcome === 'error' ? 'error' : `${outcome} ${reason}`.trim();
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
}

async function runFaults(rig: Rig, options: SoakOptions, random: Random, endsAt: number): Promise<Record<string, number>> {
	const counts: Record<string, number> = {};
	while (options.faults.length > 0 && Date.now() < endsAt) {
		await delay(options.faultIntervalMs * (0.5 + random.getFloat()));
		const name = options.faults[random.getInteger(options.faults.length)];
		counts[name] = (counts[name] ?? 0) + 1;
		await faults[name](rig, random);
	}

	return counts;
}

async function runCaller(callers: Callers, endsAt: number): Promise<void> {
	while (Date.now() < endsAt) {
		await callers.runJob();
	}
}

/**
 * Runs a soak test.
 *
 * @param options - Size, seed and faults.
 * @returns The report.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const random = createSeededRandom(options.seed);
	const customer = createRigCustomer('hill-country', {booking: {urgency: 'high', deadlineMs}});
	await using rig = await Rig.start({
		entries: options.entries, agents: options.agents, dataCentres: 4, customers: [customer], useBinary: options.useBinary, settings: {limits: {drainMs: 10_000}},
	});
	await using callers = new Callers({
		urls: rig.listEntryUrls(), token: customer.token, kind: 'booking', random: createSeededRandom(options.seed + 1), deadlineMs, maxTasks, maxRunMs,
	});
	const endsAt = Date.now() + options.durationMs;
	const [faultCounts] = await Promise.all([
		runFaults(rig, options, random, endsAt),
		...Array.from({length: options.callers}, async () => runCaller(callers, endsAt)),
	]);
	const ledger = await readLedger(rig);
	const jobs = [...callers.jobs.values()];
	return {
		jobs: jobs.length,
		calls: jobs.reduce((sum, {answers}) => sum + answers.length, 0),
		starts: countStarts(ledger),
		faults: faultCounts,
		told: countAnswers(jobs),
		slowestMs: Math.round(Math.max(0, ...jobs.flatMap(({answers}) => answers.map(({durationMs}) => durationMs)))),
		violations: jobs.flatMap(job => listJobViolations(job, ledger)),
		logs: rig.folder,
	};
}
