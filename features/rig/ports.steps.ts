/**
 * Steps for the ports that test runs take.
 */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import process from 'node:process';
import {promisify} from 'node:util';
import {Then, When} from '@cucumber/cucumber';
import {takePorts} from '../../bench/rig/ports.ts';

type PortsWorld = {
	ports: number[];
};

const runFile = promisify(execFile);

/** Takes ports in a process of its own, which lives until it has printed them. */
async function takePortsElsewhere(count: number): Promise<number[]> {
	const code = `import {takePorts} from './bench/rig/ports.ts'; console.log(JSON.stringify(await takePorts(${count}))); await new Promise(resolve => setTimeout(resolve, 500));`;
	const {stdout} = await runFile(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', code]);
	return JSON.parse(stdout) as number[];
}

When('this process and two others take {int} ports each', {timeout: 30_000}, async function (this: PortsWorld, count: number) {
	const lists = await Promise.all([takePorts(count), takePortsElsewhere(count), takePortsElsewhere(count)]);
	this.ports = lists.flat();
});

Then('all {int} ports are different', function (this: PortsWorld, count: number) {
	assert.equal(new Set(this.ports).size, count);
});
