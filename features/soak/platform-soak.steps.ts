/**
 * Steps of the soak test of the platform's processes; `SEED` replaces the seed of load and faults.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {runPlatformSoak, type PlatformSoakReport} from '../../bench/soak/platform/soak.ts';

type SoakWorld = {report: PlatformSoakReport};

const defaultSeed = 31;
const rate = 25;
const faultIntervalMs = 500;
const timeLimit = {timeout: 150_000};

When('{int} entries and {int} agents run for {int} s under {string}', timeLimit, async function (this: SoakWorld, entries: number, agents: number, seconds: number, fault: string) {
	const seed = Number(process.env.SEED ?? defaultSeed);
	console.log(`SEED=${seed}`);
	this.report = await runPlatformSoak({
		seed, durationMs: seconds * 1000, entries, agents, rate, faults: [fault], faultIntervalMs, recoveryMs: 0,
	});
});

Then('jobs were submitted again and completed', function (this: SoakWorld) {
	const {jobs, submissions, results} = this.report;
	assert.ok(submissions > jobs, `${submissions} submissions of ${jobs} jobs`);
	assert.ok(results['200 completed'] > jobs / 2, JSON.stringify(results));
});

Then('no rule was broken', function (this: SoakWorld) {
	const {findings, folder} = this.report;
	assert.deepEqual(findings.map(({rule, text}) => `${rule}: ${text}`), [], `logs in ${folder}`);
});
