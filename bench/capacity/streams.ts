/**
 * Measures how many streams an agent holds as the agents that it talks to are redrawn.
 */
import {readdir, readFile, readlink} from 'node:fs/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {CapacityFleet, type FleetProcess} from './fleet.ts';
import {readUsage} from './samples.ts';

/** Streams of one agent at one time. */
export type StreamSample = {
	/** Redraws since the start of the measurement. */
	readonly redraws: number;
	/** Connections to other processes of the fleet, in either direction. */
	readonly streams: number;
	/** Calls that wrote to streams, per second, since the previous sample. */
	readonly writesPerSecond: number;
};

/** Growth of the streams of an agent. */
export type StreamFigures = {
	readonly members: number;
	readonly peerCount: number;
	readonly samples: readonly StreamSample[];
};

const redrawMs = 1000;
const sampleMs = 8000;
const sampleCount = 5;
const peerCount = 16;
const establishedState = '01';

async function listSocketInodes(pid: number): Promise<Set<string>> {
	const folder = `/proc/${pid}/fd`;
	const inodes = new Set<string>();
	for (const name of await readdir(folder)) {
		try {
			const inode = /^socket:\[(\d+)]$/.exec(await readlink(`${folder}/${name}`))?.[1];
			inodes.add(inode ?? '');
		} catch {
			// Closed meanwhile.
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
 * Measures an agent among 60 members that talks to 16 agents and redraws them every second instead of every 30.
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
