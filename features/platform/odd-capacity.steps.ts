/**
 * Steps of features/platform/odd-entries.feature: workers that tell no capacity.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {listPlacementEstimates} from '../../src/core/fleet/logic.ts';
import {
	addAgent, applyLoad, createFleetState, type FleetState,
} from '../../src/core/fleet/state.ts';
import type {PlacementEstimate} from '../../src/core/fleet/types.ts';

type CapacityWorld = {
	oddCapacity: {readonly fleet: FleetState; estimates: readonly PlacementEstimate[]};
};

Given('agents with {int}, {int} and {int} thousandths of a core, the first one with {int} free', function (this: CapacityWorld, first: number, second: number, third: number, free: number) {
	const fleet = createFleetState({dataCentre: 'dc', remoteFactor: 1});
	for (const cpu of [first, second, third]) {
		const name = String(cpu);
		addAgent(fleet, {name, incarnation: 1}, 'dc');
		applyLoad(fleet, name, {
			mode: 'open',
			target: 'desk',
			labels: [],
			capacity: {cpu, memory: 10, accelerators: 0},
			free: {cpu: cpu === first ? free : cpu, memory: 10, accelerators: 0},
			waits: [0],
			slowness: 1,
		}, 0);
	}

	this.oddCapacity = {fleet, estimates: []};
});

When('they are ranked for a task that needs no processor', function (this: CapacityWorld) {
	this.oddCapacity.estimates = listPlacementEstimates(this.oddCapacity.fleet, {
		target: 'desk', label: '', dataRack: '', needs: {cpu: 0, memory: 1, accelerators: 0}, expectedMs: 100, priority: 0,
	}, new Set(), 0);
});

Then('their order is {string}', function (this: CapacityWorld, order: string) {
	const {estimates} = this.oddCapacity;
	assert.ok(estimates.every(({score}) => Number.isFinite(score)), JSON.stringify(estimates));
	assert.equal(estimates.map(({agent}) => agent).join(', '), order);
});
