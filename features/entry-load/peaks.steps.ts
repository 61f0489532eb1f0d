/**
 * Steps of features/entry-load/peaks.feature.
 */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {runLoad, type LoadPhase, type PhaseResult} from './simulation.ts';

type PeakWorld = {results: readonly PhaseResult[]};

function run(isActive: boolean, phases: readonly LoadPhase[]): readonly PhaseResult[] {
	return runLoad({
		cores: 0.324, jobMs: 5, deadlineMs: 1500, isActive,
	}, phases);
}

When('a load of {int} jobs per second lasts for {int} s', function (this: PeakWorld, jobs: number, seconds: number) {
	this.results = run(true, [{durationMs: seconds * 1000, jobsPerSecond: jobs}]);
});

When('a load of {int} jobs per second lasts for {int} s at an entry that refuses nothing', function (this: PeakWorld, jobs: number, seconds: number) {
	this.results = run(false, [{durationMs: seconds * 1000, jobsPerSecond: jobs}]);
});

When('a load of 40 jobs per second lasts for 10 s, then one of {int} for {int} s, then one of 40 for 10 s', function (this: PeakWorld, peak: number, seconds: number) {
	this.results = run(true, [{durationMs: 10_000, jobsPerSecond: 40}, {durationMs: seconds * 1000, jobsPerSecond: peak}, {durationMs: 10_000, jobsPerSecond: 40}]);
});

Then('in phase {int} nothing is refused', function (this: PeakWorld, phase: number) {
	assert.equal(this.results[phase - 1].refused, 0, JSON.stringify(this.results));
});

Then('in phase {int} at most {int} jobs are refused', function (this: PeakWorld, phase: number, limit: number) {
	assert.ok(this.results[phase - 1].refused <= limit, JSON.stringify(this.results));
});

Then('in phase {int} at least {int} percent of the jobs taken are answered in time', function (this: PeakWorld, phase: number, percent: number) {
	const {inTime, late} = this.results[phase - 1];
	assert.ok(inTime >= (inTime + late) * percent / 100, JSON.stringify(this.results));
});

Then('in phase {int} at least {int} jobs are answered in time', function (this: PeakWorld, phase: number, count: number) {
	assert.ok(this.results[phase - 1].inTime >= count, JSON.stringify(this.results));
});

Then('in phase {int} at most {int} jobs are answered in time', function (this: PeakWorld, phase: number, count: number) {
	assert.ok(this.results[phase - 1].inTime <= count, JSON.stringify(this.results));
});
