/**
 * Steps for a worker whose capacity changes at random.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {ShrinkingWorker, type ShrinkingReport} from './shrinking-worker.ts';

type ShrinkingWorld = {
	reports: Array<{seed: number; report: ShrinkingReport}>;
};

When('{int} workers with changing capacities run for {int} s each', function (this: ShrinkingWorld, count: number, seconds: number) {
	const first = Number(process.env.SEED ?? 1);
	this.reports = Array.from({length: count}, (_, index) => ({seed: first + index, report: new ShrinkingWorker(first + index).run(seconds * 1000)}));
});

Then('no start exceeded the capacity', function (this: ShrinkingWorld) {
	const failed = this.reports.filter(({report}) => report.violations.length > 0);
	assert.deepEqual(failed.map(({seed, report}) => `SEED=${seed}: ${report.violations.length}, first ${report.violations[0]}`), []);
});

Then('each of them has started {int} tasks at least, and all together have shrunk and restarted {int} times', function (this: ShrinkingWorld, starts: number, times: number) {
	const least = Math.min(...this.reports.map(({report}) => report.starts));
	const shrinks = this.reports.reduce((sum, {report}) => sum + report.shrinks, 0);
	const restarts = this.reports.reduce((sum, {report}) => sum + report.restarts, 0);
	assert.ok(least >= starts && shrinks >= times && restarts >= times, `${least} starts, ${shrinks} times smaller, ${restarts} restarts`);
});
