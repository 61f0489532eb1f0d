/**
 * World and helpers of the scenarios with a simulated fleet.
 */
import assert from 'node:assert/strict';
import {writeChange} from '../../src/commands/contract/write.ts';
import {parseContract} from '../../src/core/contracts/parse.ts';
import {createSeededRandom} from '../../src/ports/random.ts';
import type {SimulatedFleet} from './fleet.ts';

/** A fleet, the number of changes so far, and each document that was accepted. */
export type FleetWorld = {
	contractFleet: SimulatedFleet;
	changes: number;
	documents: string[];
};

/** Key of the contracts in the store. */
export const storeKey = 'medlardale/contracts';
const stepMs = 50;
/**
 * Limit of steps that simulate a minute of up to 200 processes, in ms of real time: what they check is simulated time,
 * and the runner's limit of 5 s was passed beside other work.
 */
export const simulation = {timeout: 120_000};

/** Random source of all scenarios. */
export const random = createSeededRandom(7);

/** Applies a contract as the operator's command does. */
export async function applyContract(world: FleetWorld, customer = 'hill-country', asksFleet = false): Promise<void> {
	const {contractFleet: fleet} = world;
	world.changes++;
	const contract = parseContract(JSON.stringify({customer, weight: world.changes, kinds: {booking: {}}})).unwrap();
	const change = {
		request: {action: 'apply', customer, contract} as const,
		author: {changeId: `change-${world.changes}`, operator: 'ana', changedAt: fleet.clock.getTime()},
	};
	const outcome = await fleet.clock.advanceUntil(writeChange({
		store: fleet.createStore(), storeKey, fleet: asksFleet ? fleet.createReader() : undefined, clock: fleet.clock, random, timeout: 10_000,
	}, change));
	assert.equal(outcome.type, 'accepted', JSON.stringify(outcome));
	world.documents.push(fleet.service.state.readKey(storeKey).value!);
}

/** Checks whether every process has a revision in force. */
export function hasRevision({processes}: SimulatedFleet, revision: number): boolean {
	return [...processes.values()].every(({source}) => source.getDocument().revision === revision);
}

/** Advances the clock until a condition is true, by at most `limit` ms. */
export async function waitFor({clock}: SimulatedFleet, limit: number, condition: () => boolean): Promise<boolean> {
	for (let waited = 0; waited < limit && !condition(); waited += stepMs) {
		await clock.advance(stepMs);
	}

	return condition();
}

/** Restarts the agents one after another, each once the last one is ready. */
export async function restartAgents({contractFleet: fleet}: FleetWorld): Promise<void> {
	for (const {address} of [...fleet.processes.values()].filter(({address: {role}}) => role === 'agent')) {
		await fleet.crash(address.name);
		const {source} = await fleet.start(address.name, 'agent', address.dataCentre);
		assert.ok(await fleet.clock.advanceUntil(source.waitReady(5000)));
	}
}
