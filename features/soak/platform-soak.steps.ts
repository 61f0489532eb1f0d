/**
 * Steps of the soak test of the platform's processes; `SEED` replaces the seed of load and faults.
 */
import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
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

When('{int} entries and {int} agents run for {int} s without faults', timeLimit, async function (this: SoakWorld, entries: number, agents: number, seconds: number) {
	const seed = Number(process.env.SEED ?? defaultSeed);
	console.log(`SEED=${seed}`);
	this.report = await runPlatformSoak({
		seed, durationMs: seconds * 1000, entries, agents, rate, faults: [], faultIntervalMs, recoveryMs: 0,
	});
});

Then('at least {float} percent of the jobs are served', function (this: SoakWorld, least: number) {
	const {servedShare, jobs, results, folder} = this.report;
	assert.ok(jobs > 0 && servedShare * 100 >= least, `${(servedShare * 100).toFixed(2)} percent of ${jobs}, ${JSON.stringify(results)}, logs in ${folder}`);
});

/** A line `task-ended` of an agent's log. */
type EndedLine = {readonly time: number; readonly event: string; readonly end: string; readonly expectedMs: number; readonly runMs: number};

/** Lists the completed runs that agents have logged, by time. */
function listCompletedRuns(folder: string): EndedLine[] {
	const files = readdirSync(folder).filter(name => /^agent-\d+\.log$/.test(name));
	const lines = files.flatMap(name => readFileSync(path.join(folder, name), 'utf8').split('\n'));
	return lines
		.filter(line => line.includes('"event":"task-ended"') && line.endsWith('}'))
		.map(line => JSON.parse(line) as EndedLine)
		.filter(({end}) => end === 'done')
		.sort((left, right) => left.time - right.time);
}

Then(/^the median of measured by expected run times stays within ([\d.]+) and ([\d.]+) in the logs of each 10 s$/, function (this: SoakWorld, low: string, high: string) {
	const runs = listCompletedRuns(this.report.folder);
	const startedAt = runs[0].time;
	const groups: number[][] = [];
	for (const {time, runMs, expectedMs} of runs) {
		(groups[Math.floor((time - startedAt) / 10_000)] ??= []).push(runMs / expectedMs);
	}

	const medians = groups.map(ratios => ratios.sort((left, right) => left - right)[ratios.length >> 1]);
	const {servedShare, jobs, load} = this.report;
	console.log(`medians ${medians.map(median => median.toFixed(2)).join(' ')}, ${runs.length} runs, ${(100 * servedShare).toFixed(2)}% of ${jobs} served, load ${load.toFixed(1)}`);
	assert.ok(medians.every(median => median >= Number(low) && median <= Number(high)), `medians ${medians.join(' ')}`);
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
