/**
 * Steps of features/settings/settings.feature.
 */
import assert from 'node:assert/strict';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {After, Given, Then} from '@cucumber/cucumber';
import {renderSettingsPage, settingsPage} from '../../scripts/write-settings-docs.ts';
import {loadSettings} from '../../src/settings/load.ts';

type SettingsWorld = {
	settingsFolder: string | undefined;
	settingsFile: string;
};

async function createFolder(world: SettingsWorld): Promise<string> {
	world.settingsFolder = await mkdtemp(path.join(tmpdir(), 'medlardale-settings-'));
	return world.settingsFolder;
}

Given(/^a settings file with ({.*)$/, async function (this: SettingsWorld, text: string) {
	this.settingsFile = path.join(await createFolder(this), 'settings.json');
	await writeFile(this.settingsFile, text);
});

Given('a settings file that does not exist', async function (this: SettingsWorld) {
	this.settingsFile = path.join(await createFolder(this), 'missing.json');
});

Then('the settings are accepted, and {string} is {int}', async function (this: SettingsWorld, key: string, expected: number) {
	const settings = await loadSettings(this.settingsFile);
	let value: unknown = settings.unwrap();
	for (const part of key.split('.')) {
		value = (value as Record<string, unknown>)[part];
	}

	assert.equal(value, expected);
});

Then(/^the settings are refused as "(.*?)" with "(.*)", "(.*)" and "(.*)"$/, async function (this: SettingsWorld, kind: string, first: string, second: string, third: string) {
	const settings = await loadSettings(this.settingsFile);
	const {kind: actualKind, message} = settings.unwrapErr();
	assert.equal(actualKind, kind);
	for (const part of [first, second, third]) {
		assert.ok(message.includes(part), `"${part}" is not in "${message}"`);
	}
});

Then('the page of settings matches the schema', async () => {
	const page = await readFile(settingsPage, 'utf8');
	assert.equal(page, renderSettingsPage(), `${settingsPage} is out of date: run node --import tsx scripts/write-settings-docs.ts`);
});

After(async function (this: SettingsWorld) {
	if (this.settingsFolder !== undefined) {
		await rm(this.settingsFolder, {recursive: true, force: true});
	}
});
