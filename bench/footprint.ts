/**
 * Checks the memory, processor time and traffic of one idle agent of the built binary in a fleet of 50 members.
 *
 * Run by `node --import tsx bench/footprint.ts [--members 50] [--seed 1] [--window 20000] [--settle 20000]`.
 * One entry and one agent run as processes, the other agents inside this one, each with a stand-in target.
 * Ends with code 1 if a bound is exceeded.
 */
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {CapacityFleet} from './capacity/fleet.ts';
import {measureRole, type RoleCost} from './capacity/idle.ts';

const {values} = parseArgs({
	options: {
		members: {type: 'string', default: '50'},
		seed: {type: 'string', default: '1'},
		window: {type: 'string', default: '20000'},
		settle: {type: 'string', default: '20000'},
	},
});

/** Upper bounds for an idle agent. */
const bounds = {residentMb: 64, cpuPercent: 2, bytesPerSecond: 7000};

type Row = {readonly figure: string; readonly value: number; readonly bound: number; readonly state: 'ok' | 'over'};

function createRow(figure: string, value: number, bound: number): Row {
	return {
		figure, value: Math.round(value * 100) / 100, bound, state: value > bound ? 'over' : 'ok',
	};
}

function createRows({
	residentMb, cpuPercent, streamBytes, gossipBytes,
}: RoleCost): Row[] {
	return [
		createRow('resident memory, MB', residentMb, bounds.residentMb),
		createRow('share of a core, %', cpuPercent, bounds.cpuPercent),
		createRow('sent bytes per second', streamBytes + gossipBytes, bounds.bytesPerSecond),
	];
}

async function measureAgent(): Promise<RoleCost> {
	await using fleet = await CapacityFleet.start({
		entries: 1, agents: 1, inProcess: Number(values.members) - 2, seed: Number(values.seed),
	});
	await wait(Number(values.settle));
	const cost = await measureRole(fleet.agents, Number(values.window));
	return cost;
}

const cost = await measureAgent();
const rows = createRows(cost);
console.table(rows);
process.stdout.write(`anonymous ${cost.anonymousMb.toFixed(1)} MB, file ${cost.fileMb.toFixed(1)} MB\n`);
process.stdout.write(`streams ${cost.streamBytes.toFixed(0)} and gossip ${cost.gossipBytes.toFixed(0)} bytes per second\n`);
process.stdout.write(`${values.members} members, seed ${values.seed}, window ${values.window} ms\n`);
// Exits without stopping the agents inside this process.
process.exit(rows.every(({state}) => state === 'ok') ? 0 : 1);
