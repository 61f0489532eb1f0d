/**
 * Steps that compare when a load report is due with a plain decision.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {isReportDue} from '../../src/core/runs/load-reports.ts';
import type {WorkerLoad} from '../../src/ports/dispatch-messages.ts';

type ReportWorld = {reportDecisions: Array<{readonly isDue: boolean; readonly isDuePlainly: boolean}>};

const taskCpu = 1600;

// Few different values, so that pairs are equal in some figures often.
const loadArbitrary: fc.Arbitrary<WorkerLoad> = fc.record({
	mode: fc.constantFrom<WorkerLoad['mode']>('open', 'open', 'open', 'closed'),
	target: fc.constant('desk'),
	labels: fc.constant([]),
	capacity: fc.record({cpu: fc.constantFrom(32_000, 32_000, 16_000), memory: fc.constant(10_000), accelerators: fc.constant(0)}),
	free: fc.record({cpu: fc.constantFrom(-100, 5000, 5100, 12_000), memory: fc.constantFrom(0, 900, 5000), accelerators: fc.constant(0)}),
	waits: fc.array(fc.constantFrom(0, 4, 5, 60), {minLength: 2, maxLength: 2}),
	slowness: fc.constantFrom(1, 1, 1.1, 1.3),
});

function describe({free, capacity, waits}: WorkerLoad): string {
	const countSteps = (steps: readonly number[], value: number): number => steps.filter(step => value >= step).length;
	return [
		countSteps([0.06, 0.12, 0.2, 0.35, 0.55, 0.8], free.cpu / capacity.cpu),
		countSteps([0.06, 0.12, 0.2, 0.35, 0.55, 0.8], free.memory / capacity.memory),
		...waits.map(wait => countSteps([5, 20, 50, 100, 200, 400, 800], wait)),
	].join(' ');
}

function isDuePlainly(before: WorkerLoad, load: WorkerLoad, age: number): boolean {
	const countFitting = ({free}: WorkerLoad): number => Math.max(0, Math.min(2, Math.floor(free.cpu / taskCpu)));
	const isOther = before.mode !== load.mode || before.capacity.cpu !== load.capacity.cpu
		|| countFitting(before) !== countFitting(load) || (before.free.memory > 0) !== (load.free.memory > 0);
	const isRefined = Math.abs(before.slowness - load.slowness) >= 0.25 || describe(before) !== describe(load);
	return isOther || (isRefined && age >= 250);
}

When('it is decided for {int} random pairs of loads whether a report is due', function (this: ReportWorld, count: number) {
	const seed = Number(process.env.SEED ?? Date.now() % 1_000_000);
	process.stdout.write(`load reports: seed ${seed}\n`);
	const cases = fc.sample(fc.tuple(loadArbitrary, loadArbitrary, fc.constantFrom(0, 249, 250, 1000)), {numRuns: count, seed});
	this.reportDecisions = cases.map(([before, load, age]) => ({
		isDue: isReportDue({load: before, at: 0}, load, taskCpu, age), isDuePlainly: isDuePlainly(before, load, age),
	}));
});

Then('each decision is that of comparing the descriptions', function (this: ReportWorld) {
	for (const {isDue, isDuePlainly: expected} of this.reportDecisions) {
		assert.equal(isDue, expected);
	}

	const due = this.reportDecisions.filter(({isDue}) => isDue).length;
	assert.ok(due > this.reportDecisions.length / 20 && due < this.reportDecisions.length, `${due} of ${this.reportDecisions.length} are due`);
});
