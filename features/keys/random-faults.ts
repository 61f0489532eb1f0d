/**
 * Random faults of the store and the homes while keys are submitted and resubmitted at entries with different clocks.
 */
import type {StoreFaults} from '../../stand-ins/store-service.ts';
import {createKey, shortEpochs, type KeyFleet} from './fleet.ts';

const noFaults: Partial<StoreFaults> = {
	outage: false, hang: false, delayMs: 0, loseWriteAnswers: 0, staleReads: 0,
};

const faults: ReadonlyArray<(fleet: KeyFleet) => void> = [
	({service}) => service.setFaults({outage: true}),
	({service}) => service.setFaults({hang: true}),
	({service, random}) => service.setFaults({delayMs: random.getInteger(700)}),
	({service, random}) => service.setFaults({loseWriteAnswers: 1 + random.getInteger(3)}),
	({service, random}) => service.setFaults({staleReads: 1 + random.getInteger(4)}),
	({service}) => service.setFaults(noFaults),
	({service}) => service.setFaults(noFaults),
	({service}) => service.setFaults(noFaults),
	({entries, random}) => {
		const entry = entries[random.getInteger(entries.length)];
		entry.isDisconnected = !entry.isDisconnected;
	},
	({simulation, random}) => {
		const agent = simulation.agents[random.getInteger(simulation.agents.length)];
		if (agent.isAlive) {
			simulation.kill(agent);
		} else {
			simulation.restart(agent);
		}
	},
];

/**
 * Runs entries whose clocks are up to 400 ms ahead or behind under random faults.
 *
 * @param fleet - The fleet; its invariants are asserted after each fault.
 * @param entryCount - Number of entries.
 * @param duration - Length of the run, in ms.
 */
export async function runRandomFaults(fleet: KeyFleet, entryCount: number, duration: number): Promise<void> {
	const {clock, random} = fleet;
	for (let count = 0; count < entryCount; count++) {
		fleet.addEntry(shortEpochs, random.getInteger(801) - 400);
	}

	const keys: string[] = [];
	const end = clock.getTime() + duration;
	while (clock.getTime() < end) {
		faults[random.getInteger(faults.length)](fleet);
		for (let count = 0; count < 4; count++) {
			const isNew = keys.length === 0 || random.getFloat() < 0.4;
			if (isNew) {
				keys.push(createKey(clock.getTime() + random.getInteger(6000) - 1000, keys.length));
			}

			const key = isNew ? keys.at(-1)! : keys[keys.length - 1 - random.getInteger(Math.min(keys.length, 12))];
			await fleet.submit(fleet.entries[random.getInteger(entryCount)], key);
			await fleet.advance(random.getInteger(300));
		}

		fleet.assertInvariants();
	}
}
