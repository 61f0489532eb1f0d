/**
 * Steps for loads that the emulator simulates.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {EmulatedFleet} from '../../bench/emulator/fleet.ts';
import {scenarios, type ScenarioName} from '../../bench/emulator/scenarios.ts';
import type {EmulationReport, KindReport, Scenario} from '../../bench/emulator/types.ts';

type LoadWorld = {
	compared: readonly ScenarioName[];
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

/** Computes the messages that an entry or an agent sends and receives in a run; claims of new streams do not count. */
function computeMessagesPerNode({messages}: EmulationReport, name: ScenarioName, role: string): number {
	const {entries, workers}: Scenario = scenarios[name];
	const total = Object.entries(messages).reduce((sum, [type, count]) => sum + (type === 'claim' ? 0 : count), 0);
	return total / (role === 'entry' ? entries : workers.length);
}

When('{string} and {string} are simulated for {int} s each', {timeout: 120_000}, function (this: LoadWorld, small: ScenarioName, large: ScenarioName, seconds: number) {
	this.compared = [small, large];
	this.reports = this.compared.map(name => new EmulatedFleet(firstSeed, scenarios[name]).run(seconds * 1000));
});

Then(/^the messages of an (entry|agent) grow by at most (\d+) percent$/, function (this: LoadWorld, role: string, percent: string) {
	const [small, large] = this.reports.map((report, index) => computeMessagesPerNode(report, this.compared[index], role));
	assert.ok(large <= small * (1 + (Number(percent) / 100)), `${small} messages of an ${role} grow to ${large}`);
});

Then('no entry has more than {int} streams', function (this: LoadWorld, most: number) {
	for (const {mostStreams} of this.reports) {
		assert.ok(mostStreams <= most, `an entry has ${mostStreams} streams`);
	}
});
