/**
 * Steps of features/settings/template.feature.
 */
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {renderSettings, type SettingsFields} from '../../platform/stand-ins/deployment.ts';
import {parseDispatchSettings} from '../../src/settings/dispatch.ts';

type TemplateWorld = {file: {bounds: Record<string, unknown>; machine?: unknown}};

const fields: SettingsFields = {
	NodeName: 'edge-1',
	Ip: '127.0.0.1',
	Zone: 'dc',
	InternalPorts: [14_001, 14_002],
	ListenAddrs: {Frontend: '127.0.0.1:14003', Readiness: '127.0.0.1:14004'},
	platform: {Address: '127.0.0.1:14005'},
	Bounds: {
		MaxHoldMs: 1000, StopMs: 50, RetransmitMs: 1300, GracePeriodS: 6, ConfigApplyMs: 2000, RemoteFactor: 1.5,
	},
};
const statedFields: SettingsFields = {
	...fields,
	Bounds: {...fields.Bounds, EvacuateMs: 5000},
	Limits: {
		CpuShare: 0.324, MemoryMb: 250, MaxFds: 4100, LinkMbps: 17.5,
	},
};

function parseText(text: string): unknown {
	return text === 'absent' ? undefined : JSON.parse(text);
}

Given(/^a settings file that is rendered (with|without) these fields$/, function (this: TemplateWorld, stated: string) {
	this.file = JSON.parse(renderSettings(stated === 'with' ? statedFields : fields)) as TemplateWorld['file'];
});

Given(/^a settings file that is rendered without these fields, in which (machine|closingMs) is (.+)$/, function (this: TemplateWorld, field: 'machine' | 'closingMs', text: string) {
	this.file = JSON.parse(renderSettings(fields)) as TemplateWorld['file'];
	const table = field === 'machine' ? this.file : this.file.bounds;
	const value = parseText(text);
	if (value === undefined) {
		Reflect.deleteProperty(table, field);
	} else {
		Object.assign(table, {[field]: value});
	}
});

Then(/^its closing time is (\d+|absent) and its machine is (.+)$/, function (this: TemplateWorld, closingMs: string, machine: string) {
	const settings = parseDispatchSettings(this.file).unwrap();
	assert.equal(settings.bounds.closingMs, parseText(closingMs));
	assert.deepEqual(settings.machine, parseText(machine));
});

Then('the rendered file is refused with {string}', function (this: TemplateWorld, path: string) {
	const {message} = parseDispatchSettings(this.file).unwrapErr();
	assert.ok(message.includes(path), message);
});
