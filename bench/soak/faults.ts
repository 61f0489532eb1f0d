/**
 * Faults that a soak brings about at the processes and the store of a rig.
 */
import type {Random} from '../../src/ports/random.ts';
import type {Rig} from '../rig/rig.ts';

/** Brings about one fault and undoes it. */
export type FaultHandler = (rig: Rig, random: Random) => Promise<void>;

const freezeMs = 4000;
const downMs = 1500;
const outageMs = 3000;

async function wait(duration: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}

function chooseName(rig: Rig, random: Random, role: 'agent' | 'entry'): string {
	const names = [...rig.processes.keys()].filter(name => name.startsWith(role));
	return names[random.getInteger(names.length)];
}

function createKill(role: 'agent' | 'entry'): FaultHandler {
	return async (rig, random) => {
		const child = rig.getProcess(chooseName(rig, random, role));
		await child.stop('SIGKILL');
		await wait(random.getInteger(downMs));
		child.start();
	};
}

function createFreeze(role: 'agent' | 'entry'): FaultHandler {
	return async (rig, random) => {
		const child = rig.getProcess(chooseName(rig, random, role));
		child.sendSignal('SIGSTOP');
		await wait(random.getInteger(freezeMs));
		child.sendSignal('SIGCONT');
	};
}

function createReplacement(role: 'agent' | 'entry'): FaultHandler {
	return async (rig, random) => {
		const child = rig.getProcess(chooseName(rig, random, role));
		await child.stop('SIGTERM');
		child.start();
	};
}

/** Faults by name. */
export const faults: Readonly<Record<string, FaultHandler>> = {
	'kill-agent': createKill('agent'),
	'kill-entry': createKill('entry'),
	'freeze-agent': createFreeze('agent'),
	'freeze-entry': createFreeze('entry'),
	'replace-agent': createReplacement('agent'),
	'replace-entry': createReplacement('entry'),
	async 'store-outage'(rig, random) {
		rig.store.setFaults({outage: true});
		await wait(random.getInteger(outageMs));
		rig.store.setFaults({outage: false});
	},
};
