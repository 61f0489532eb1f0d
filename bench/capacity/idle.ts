/**
 * Measures the cost of idle processes, and of changes and status queries, in fleets of different sizes.
 */
import {execFile} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {promisify} from 'node:util';
import {createStoreClient} from '../../src/adapters/store/client.ts';
import {createSystemClock} from '../../src/adapters/system/clock.ts';
import {createSeededRandom} from '../../src/ports/random.ts';
import {writeChange} from '../../src/commands/contract/write.ts';
import {
	CapacityFleet, customer, operatorEnvironment, type FleetOptions, type FleetProcess,
} from './fleet.ts';
import {
	computeUsage, readCounters, readMemory, readUsage, type MemorySample,
} from './samples.ts';

/** Cost of an idle process of one role, as the mean over the processes of this role. */
export type RoleCost = MemorySample & {
	/** Share of a core, in percent. */
	readonly cpuPercent: number;
	/** Bytes written to streams per second, with an estimate of the IP and TCP headers. */
	readonly streamBytes: number;
	/** Bytes of datagrams sent per second, without headers. */
	readonly gossipBytes: number;
	/** Messages sent on streams per second. */
	readonly messages: number;
};

/** Figures of one idle fleet. */
export type IdleFigures = {
	readonly members: number;
	readonly agent: RoleCost;
	readonly entry: RoleCost;
	/** Calls of the store per second; a watch that waits for a change counts as one call. */
	readonly storeCalls: number;
	/** Time from the write of a change until it was in force on the last process, in ms. */
	readonly changeMs: number;
	/** Time that the command `status` takes, in ms, and size of its output, in bytes. */
	readonly statusMs: number;
	readonly statusBytes: number;
};

const runFile = promisify(execFile);
/** IP and TCP headers, counted once for each write call. */
const packetHeaderBytes = 52;
const maxOutputBytes = 64 * 1024 * 1024;
const changeLimitMs = 15_000;

function computeMeans<Key extends string>(samples: ReadonlyArray<Readonly<Record<Key, number>>>): Record<Key, number> {
	const keys = Object.keys(samples[0]) as Key[];
	return Object.fromEntries(keys.map(key => [key, samples.reduce((sum, sample) => sum + sample[key], 0) / samples.length])) as Record<Key, number>;
}

async function readMemories(processes: readonly FleetProcess[]): Promise<MemorySample> {
	return computeMeans(await Promise.all(processes.map(async ({process}) => readMemory(process.getPid()))));
}

async function measureUsage({process}: FleetProcess, windowMs: number): Promise<Pick<RoleCost, 'cpuPercent' | 'streamBytes'>> {
	const pid = process.getPid();
	const before = await readUsage(pid);
	const startedAt = performance.now();
	await wait(windowMs);
	const usage = computeUsage(before, await readUsage(pid));
	const seconds = (performance.now() - startedAt) / 1000;
	return {
		cpuPercent: usage.cpuMs / seconds / 10,
		streamBytes: (usage.writtenBytes + (usage.writeCalls * packetHeaderBytes)) / seconds,
	};
}

function countMessages(sent: Readonly<Record<string, number>>): number {
	return Object.values(sent).reduce((sum, count) => sum + count, 0);
}

async function measureMessages({port}: FleetProcess, windowMs: number): Promise<Pick<RoleCost, 'gossipBytes' | 'messages'>> {
	const first = await readCounters(port);
	const startedAt = performance.now();
	await wait(windowMs);
	const second = await readCounters(port);
	const seconds = (performance.now() - startedAt) / 1000;
	return {
		gossipBytes: (second.gossipBytes - first.gossipBytes) / seconds,
		messages: (countMessages(second.sent) - countMessages(first.sent)) / seconds,
	};
}

async function readInForceTime({logFile}: FleetProcess): Promise<number | undefined> {
	const text = await readFile(logFile, 'utf8');
	const time = /^(\S+) .*revision 2 .* is in force/m.exec(text)?.[1];
	return time === undefined ? undefined : Date.parse(time);
}

/** Writes a change and returns the time until the last process logged that it is in force, in ms. */
async function measureChange(fleet: CapacityFleet, seed: number): Promise<number> {
	const client = createStoreClient({url: fleet.store.url, timeout: 2000});
	const clock = createSystemClock();
	const startedAt = Date.now();
	await writeChange({
		store: client, storeKey: 'medlardale/contracts', clock, random: createSeededRandom(seed), timeout: 5000,
	}, {
		request: {action: 'apply', customer: customer.contract.customer, contract: {...customer.contract, weight: 2}},
		author: {changeId: 'capacity', operator: 'bench', changedAt: startedAt},
	});
	const processes = [...fleet.entries, ...fleet.agents];
	while (Date.now() - startedAt < changeLimitMs) {
		const times = await Promise.all(processes.map(async process => readInForceTime(process)));
		if (times.every(time => time !== undefined)) {
			return Math.max(...times) - startedAt;
		}

		await wait(200);
	}

	return Number.POSITIVE_INFINITY;
}

async function measureStatus(fleet: CapacityFleet): Promise<{statusMs: number; statusBytes: number}> {
	const startedAt = performance.now();
	const {stdout} = await runFile(path.resolve('dist/medlardale'), ['status', '--json', '--address', `127.0.0.1:${fleet.entries[0].port}`], {
		env: operatorEnvironment, maxBuffer: maxOutputBytes,
	});
	return {statusMs: performance.now() - startedAt, statusBytes: stdout.length};
}

/**
 * Measures idle processes. Memory is read before the counters, because the first read of the counters makes a process
 * load its metrics library.
 *
 * @param processes - Processes of one role.
 * @param windowMs - Time over which processor time and bytes are counted.
 * @returns The means over the processes.
 */
export async function measureRole(processes: readonly FleetProcess[], windowMs: number): Promise<RoleCost> {
	const usages = await Promise.all(processes.map(async process => measureUsage(process, windowMs)));
	const memory = await readMemories(processes);
	const rates = await Promise.all(processes.map(async process => measureMessages(process, windowMs / 2)));
	return {...memory, ...computeMeans(usages), ...computeMeans(rates)};
}

/**
 * Measures one idle fleet.
 *
 * @param options - Size and settings of the fleet.
 * @param times - `settleMs`: time before the measurement; `windowMs`: its length.
 * @returns The figures.
 */
export async function measureIdle(options: FleetOptions, times: {readonly settleMs: number; readonly windowMs: number}): Promise<IdleFigures> {
	await using fleet = await CapacityFleet.start(options);
	await wait(times.settleMs);
	const callsBefore = fleet.store.countCalls().total;
	const startedAt = performance.now();
	const [agent, entry] = await Promise.all([measureRole(fleet.agents, times.windowMs), measureRole(fleet.entries, times.windowMs)]);
	const storeCalls = (fleet.store.countCalls().total - callsBefore) / (performance.now() - startedAt) * 1000;
	const changeMs = await measureChange(fleet, options.seed);
	const status = await measureStatus(fleet);
	return {
		members: fleet.countMembers(), agent, entry, storeCalls, changeMs, ...status,
	};
}
