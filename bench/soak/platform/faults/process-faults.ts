/**
 * Processes that are killed, stopped, suspended, replaced or told of changed settings.
 */
import {setTimeout as waitFor} from 'node:timers/promises';
import type {Milliseconds} from '../../../../src/ports/clock.ts';
import type {Random} from '../../../../src/ports/random.ts';
import type {PlatformFleet} from '../fleet.ts';
import type {SoakProcess} from '../processes.ts';
import {drawHalf, drawOne, drawTime} from './drawing.ts';
import type {FaultHandler, FaultTable} from './types.ts';

/** What is done to each selected process. */
type ProcessAction = (child: SoakProcess, time: Milliseconds) => Promise<void>;

/** An action, and the bounds of its time. */
type ActionOptions = {readonly run: ProcessAction; readonly minMs: Milliseconds; readonly maxMs: Milliseconds};

/** Selects processes. */
type ProcessSelector = (fleet: PlatformFleet, random: Random) => readonly SoakProcess[];

const actions: Readonly<Record<string, ActionOptions>> = {
	kill: {
		run: async (child, time) => child.restart('SIGKILL', time), minMs: 10, maxMs: 1500,
	},
	stop: {
		run: async (child, time) => child.restart('SIGTERM', time), minMs: 0, maxMs: 300,
	},
	suspend: {
		run: async (child, time) => child.suspend(time), minMs: 100, maxMs: 4000,
	},
};

const selectors: Readonly<Record<string, ProcessSelector>> = {
	entry: (fleet, random) => drawOne(random, fleet.listProcesses('entry')),
	agent: (fleet, random) => drawOne(random, fleet.listProcesses('agent')),
	'half-entries': (fleet, random) => drawHalf(random, fleet.listProcesses('entry')),
	'half-agents': (fleet, random) => drawHalf(random, fleet.listProcesses('agent')),
	'all-entries': fleet => fleet.listProcesses('entry'),
	'all-agents': fleet => fleet.listProcesses('agent'),
	half: (fleet, random) => drawHalf(random, fleet.processes),
};

function createProcessFault({run, minMs, maxMs}: ActionOptions, select: ProcessSelector): FaultHandler {
	return async (fleet, random) => {
		const chosen = select(fleet, random);
		const time = drawTime(random, minMs, maxMs);
		await Promise.all(chosen.map(async child => run(child, time)));
		return `${chosen.map(({name}) => name).join(', ')} for ${time} ms`;
	};
}

/** Kills a process again and again, soon after each start. */
function createCrashLoop(select: ProcessSelector): FaultHandler {
	return async (fleet, random) => {
		const [child] = select(fleet, random);
		const count = 2 + random.getInteger(5);
		for (let index = 0; index < count; index++) {
			await child.restart('SIGKILL', drawTime(random, 10, 200));
			await waitFor(drawTime(random, 50, 700));
		}

		return `${child.name} ${count} times`;
	};
}

/** Kills all processes and workers at the same moment. */
const losePower: FaultHandler = async (fleet, random) => {
	const time = drawTime(random, 10, 1500);
	await Promise.all([
		...fleet.processes.map(async child => child.restart('SIGKILL', time)),
		...fleet.workers.map(async worker => worker.crash(time)),
	]);
	return `everything for ${time} ms`;
};

/** Stops the entries one after the other, the next soon after the last one has started. */
const replaceEntries: FaultHandler = async (fleet, random) => {
	for (const child of fleet.listProcesses('entry')) {
		await child.restart('SIGTERM', 0);
		await waitFor(drawTime(random, 250, 750));
	}

	return 'all entries in turn';
};

export const processFaults: FaultTable = {
	...Object.fromEntries(Object.entries(actions).flatMap(([action, options]) =>
		Object.entries(selectors).map(([target, select]) => [`${action}-${target}`, createProcessFault(options, select)]))),
	'crash-loop-entry': createCrashLoop(selectors.entry),
	'crash-loop-agent': createCrashLoop(selectors.agent),
	'power-loss': losePower,
	'replace-entries': replaceEntries,
	async reload(fleet, random) {
		const [child] = drawOne(random, fleet.processes);
		await child.reload(drawTime(random, 3, 9));
		return child.name;
	},
};
