/**
 * Steps for loads that the emulator simulates.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {EmulatedFleet} from '../../bench/emulator/fleet.ts';
import {scenarios, type ScenarioName} from '../../bench/emulator/scenarios.ts';
import type {EmulationReport, KindReport} from '../../bench/emulator/types.ts';

type LoadWorld = {
	reports: EmulationReport[];
};

const firstSeed = Number(process.env.SEED ?? 1);

function sumColumn(world: LoadWorld, kind: string, column: keyof KindReport): number {
	return world.reports.reduce((sum, {kinds}) => sum + kinds[kind][column], 0);
}

function checkShare(part: number, total: number, least: number): void {
	assert.ok(part * 100 >= least * total, `${part} of ${total} are ${(100 * part / total).toFixed(1)} percent`);
}

When('{string} is simulated for {int} s over {int} seeds', function (this: LoadWorld, name: ScenarioName, seconds: number, seeds: number) {
	this.reports = Array.from({length: seeds}, (_, index) => new EmulatedFleet(firstSeed + index, scenarios[name]).run(seconds * 1000));
});

Then('at least {int} percent of the {string} jobs are in time', function (this: LoadWorld, least: number, kind: string) {
	checkShare(sumColumn(this, kind, 'inTime'), sumColumn(this, kind, 'submitted'), least);
});

Then('at least {int} percent of the {string} jobs that were not refused are in time', function (this: LoadWorld, least: number, kind: string) {
	checkShare(sumColumn(this, kind, 'inTime'), sumColumn(this, kind, 'submitted') - sumColumn(this, kind, 'refused'), least);
});

Then('at most {int} percent of the {string} jobs are refused', function (this: LoadWorld, most: number, kind: string) {
	checkShare(sumColumn(this, kind, 'submitted') - sumColumn(this, kind, 'refused'), sumColumn(this, kind, 'submitted'), 100 - most);
});

Then('no guarantee is violated', function (this: LoadWorld) {
	assert.deepEqual(this.reports.flatMap(({violations}) => violations), []);
});
