/**
 * Runs the features and ends with a failure only if a scenario outside KNOWN-RED.txt failed.
 */
import {spawn} from 'node:child_process';
import process from 'node:process';

const args = ['--import', 'tsx', 'node_modules/@cucumber/cucumber/bin/cucumber.js', ...process.argv.slice(2)];
const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'inherit']});
let output = '';
child.stdout.on('data', chunk => {
	output += chunk;
	process.stdout.write(chunk);
});
child.on('close', code => {
	const summary = /^(\d+) passed, (\d+) failed$/m.exec(output);
	const ranTests = summary !== null && Number(summary[1]) > 0;
	const onlyKnownRed = ranTests && Number(summary[2]) === 0 && output.includes('known red: ');
	process.exitCode = ranTests && (code === 0 || onlyKnownRed) ? 0 : 1;
});
