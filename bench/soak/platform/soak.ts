/**
 * Runs callers and faults against the platform's processes for a given time, and judges what workers and callers saw.
 */
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSeededRandom, type Random} from '../../../src/ports/random.ts';
import {PlatformCallers} from './callers.ts';
import {faults} from './faults.ts';
import {bounds, PlatformFleet} from './fleet.ts';
import {listConcurrentRuns} from './judge.ts';
import {listTimeline} from './timeline.ts';
import type {
	Finding, PlatformSoakOptions, SoakJob, TimelineLine,
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
	/** Broken rules; empty if all held. */
	readonly findings: readonly Finding[];
	/** Folder with the settings and logs of the processes, and with the timeline of the findings. */
	readonly folder: string;
};

function countResults(jobs: Iterable<SoakJob>): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {result, state} of [...jobs].flatMap(({submissions}) => submissions)) {
		const key = `${result} ${state ?? ''}`.trim();
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
}

async function runFaults(fleet: PlatformFleet, options: PlatformSoakOptions, random: Random, endsAt: number): Promise<TimelineLine[]> {
	const lines: TimelineLine[] = [];
	while (options.faults.length > 0) {
		await delay(options.faultIntervalMs * (0.5 + random.getFloat()));
		if (Date.now() >= endsAt) {
			return lines;
		}

		const name = options.faults[random.getInteger(options.faults.length)];
		const at = Date.now();
		lines.push({at, source: name, text: await faults[name](fleet, random)});
	}

	return lines;
}

async function writeTimeline(fleet: PlatformFleet, callers: PlatformCallers, findings: readonly Finding[], lines: readonly TimelineLine[]): Promise<void> {
	const ids = new Set(findings.flatMap(({jobs}) => jobs));
	const timeline = listTimeline(fleet, [...ids].map(id => callers.jobs.get(id)!), lines);
	await writeFile(path.join(fleet.folder, 'timeline.txt'), timeline.map(({at, source, text}) => `${at} ${source}: ${text}\n`).join(''));
}

/**
 * Runs the soak test.
 *
 * @param options - Size, seed and faults.
 * @returns The report.
 */
export async function runPlatformSoak(options: PlatformSoakOptions): Promise<PlatformSoakReport> {
	await using fleet = await PlatformFleet.start(options);
	await using callers = new PlatformCallers({
		entries: fleet.listEntries(), random: createSeededRandom(options.seed + 1), rate: options.rate, resubmitMs: bounds.RetransmitMs,
	});
	const endsAt = Date.now() + options.durationMs;
	const [lines] = await Promise.all([
		runFaults(fleet, options, createSeededRandom(options.seed), endsAt),
		callers.run(endsAt),
	]);
	const starts = fleet.workers.flatMap(worker => worker.starts);
	const findings = listConcurrentRuns(starts);
	await delay(200);
	await writeTimeline(fleet, callers, findings, lines);
	const jobs = [...callers.jobs.values()];
	return {
		jobs: jobs.length,
		submissions: jobs.reduce((sum, {submissions}) => sum + submissions.length, 0),
		starts: starts.length,
		faults: lines.length,
		results: countResults(jobs),
		findings,
		folder: fleet.folder,
	};
}
