/**
 * Faults that the soak test injects into the processes and the store of a rig.
 */
import type {Random} from '../../src/ports/random.ts';
import type {Rig} from '../rig/rig.ts';

/** Injects one fault and recovers from it. */
export type FaultHandler = (rig: Rig, random: Random) => Promise<void>;

/** Limits of the duration of a fault, which is drawn at random, in ms. */
const maxFreezeMs = 4000;
const maxDownMs = 1500;
const maxOutageMs = 3000;

async function wait(duration: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}

function chooseProcess(rig: Rig, random: Random, role: 'agent' | 'entry'): string {
	const names = [...rig.processes.keys()].filter(name => name.startsWith(role));
	return names[random.getInteger(names.length)];
}

function createKillFault(role: 'agent' | 'entry'): FaultHandler {
	return async (rig, random) => {
		const child = rig.getProcess(chooseProcess(rig, random, role));
		await child.stop('SIGKILL');
		await wait(random.getInteger(maxDownMs));
		child.start();
	};
}

function createFreezeFault(role: 'agent' | 'entry'): FaultHandler {
	return async (rig, random) => {
		const child = rig.getProcess(chooseProcess(rig, random, role));
		child.sendSignal('SIGSTOP');
		await wait(random.getInteger(maxFreezeMs));
		child.sendSignal('SIGCONT');
	};
}

function createReplacementFault(role: 'agent' | 'entry'): FaultHandler {
	return async (rig, random) => {
		const child = rig.getProcess(chooseProcess(rig, random, role));
		await child.stop('SIGTERM');
		child.start();
	};
}

/** Faults by the name that the command line takes. */
export const faults: Readonly<Record<string, FaultHandler>> = {
	'kill-agent': createKillFault('agent'),
	'kill-entry': createKillFault('entry'),
	'freeze-agent': createFreezeFault('agent'),
	'freeze-entry': createFreezeFault('entry'),
	'replace-agent': createReplacementFault('agent'),
	'replace-entry': createReplacementFault('entry'),
	async 'store-outage'(rig, random) {
		rig.store.setFaults({outage: true});
		await wait(random.getInteger(maxOutageMs));
		rig.store.setFaults({outage: false});
	},
};
