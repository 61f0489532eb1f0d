/**
 * Steps of features/platform/start.feature.
 */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {Then, When} from '@cucumber/cucumber';

type StartWorld = {
	stderr: string;
};

const missingFile = '/tmp/medlardale-missing-settings.json';

When('the command of role {string} in the deploy file is run with a settings file that is missing', function (this: StartWorld, role: string) {
	const section = readFileSync('deploy/system.toml', 'utf8').split(`[roles.${role}]`)[1];
	const [, line] = /run = "(.*)"/.exec(section)!;
	const [command, ...words] = line.split(' ').map(word => word.endsWith('.json') ? missingFile : word);
	this.stderr = spawnSync(command, words, {encoding: 'utf8'}).stderr;
});

Then('it ends with an error that names the settings file', function (this: StartWorld) {
	assert.match(this.stderr, new RegExp(missingFile));
});

Then('the code cache was used', function (this: StartWorld) {
	assert.doesNotMatch(this.stderr, /code cache/);
});
