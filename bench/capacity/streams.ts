/**
 * Measures how many streams an agent keeps open while it repeatedly redraws the agents that it communicates with.
 */
import {readdir, readFile, readlink} from 'node:fs/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {CapacityFleet, type FleetProcess} from './fleet.ts';
import {readUsage} from './samples.ts';

/** Streams of one agent at the time of the sample. */
export type StreamSample = {
	/** Number of redraws since the start of the measurement. */
	readonly redraws: number;
	/** All established TCP connections of the agent over IPv4, in either direction, whatever they are used for. */
	readonly streams: number;
	/** Write calls per second since the previous sample, as the kernel counts them. */
	readonly writesPerSecond: number;
};

/** Number of streams of an agent over time. */
export type StreamFigures = {
	readonly members: number;
	readonly peerCount: number;
	readonly samples: readonly StreamSample[];
};

const redrawMs = 1000;
const sampleMs = 8000;
const sampleCount = 5;
const peerCount = 16;
/** State of established connections in `/proc/net/tcp`. */
const establishedState = '01';

async function listSocketInodes(pid: number): Promise<Set<string>> {
	const folder = `/proc/${pid}/fd`;
	const inodes = new Set<string>();
	for (const name of await readdir(folder)) {
		try {
			const inode = /^socket:\[(\d+)]$/.exec(await readlink(`${folder}/${name}`))?.[1];
			inodes.add(inode ?? '');
		} catch {
			// The file descriptor has been closed meanwhile.
		}
	}

	return inodes;
}

/** Counts the open TCP connections of a process. */
async function countConnections({process}: FleetProcess): Promise<number> {
	const inodes = await listSocketInodes(process.getPid());
	const table = await readFile('/proc/net/tcp', 'utf8');
	const rows = table.trim().split('\n').slice(1).map(line => line.trim().split(/\s+/));
	return rows.filter(fields => fields[3] === establishedState && inodes.has(fields[9])).length;
}

/**
 * Measures an agent among 60 members that communicates with 16 agents and redraws them every second, instead of every 30 s.
 *
 * @param seed - Seed of the fleet.
 * @returns The streams over time.
 */
export async function measureStreams(seed: number): Promise<StreamFigures> {
	await using fleet = await CapacityFleet.start({
		entries: 1, agents: 1, inProcess: 58, seed, settings: {placement: {redrawMs, peerCount}},
	});
	const [agent] = fleet.agents;
	const samples: StreamSample[] = [];
	let {writeCalls: callsBefore} = await readUsage(agent.process.getPid());
	const startedAt = performance.now();
	for (let index = 0; index < sampleCount; index++) {
		await wait(sampleMs);
		const usage = await readUsage(agent.process.getPid());
		samples.push({
			redraws: Math.round((performance.now() - startedAt) / redrawMs),
			streams: await countConnections(agent),
			writesPerSecond: (usage.writeCalls - callsBefore) / sampleMs * 1000,
		});
		callsBefore = usage.writeCalls;
	}

	return {members: fleet.countMembers(), peerCount, samples};
}
