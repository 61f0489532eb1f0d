/**
 * Steps of features/platform/odd-entries.feature: pages of a list of keys.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {startStandInServer, type StandInServer} from '../../platform/stand-ins/json-server.ts';
import {createPlatformStore} from '../../platform/store.ts';

type PagesWorld = {
	pages: {readonly server: StandInServer; result: string[] | string};
};

/** Most pages that a store gives before it refuses, so that a list that never ends fails its test. */
const maxPages = 20;

const limit = {timeout: 10_000};

/** Rows that are no items, by description. */
const oddRows: Readonly<Record<string, unknown>> = {
	'no item': {Key: 'z', Value: 7, Revision: 4},
	'no key': {Value: '', Revision: 4},
	'lone surrogate': {Key: '\uD800', Value: '', Revision: 4},
};

function createRow(text: string): unknown {
	return oddRows[text] ?? {
		Key: text, Value: Buffer.from(text).toString('base64'), Revision: 3, Created: 3, Lease: 0,
	};
}

async function startPages(pages: readonly string[], isRepeated: boolean): Promise<StandInServer> {
	let count = 0;
	return startStandInServer(async () => {
		const page = isRepeated ? pages[0] : pages[count];
		count++;
		return count > maxPages
			? {status: 503}
			: {status: 200, body: {items: page.split(', ').map(text => createRow(text)), HasMore: isRepeated || count < pages.length, At: 9}};
	});
}

Given(/^a store whose list has the pages? "([^"]*)"(?: and "([^"]*)"| (again and again))$/, async function (this: PagesWorld, first: string, second: string | null, again: string | null) {
	const pages = [first, second].filter(page => typeof page === 'string');
	this.pages = {server: await startPages(pages, again !== null), result: ''};
});

When('the keys are listed', limit, async function (this: PagesWorld) {
	await using store = createPlatformStore(this.pages.server.address);
	const listed = await store.listKeys('', ({key}) => Buffer.from(key).toString('utf8'));
	this.pages.result = listed.isOk() ? [...listed.value] : listed.error.message;
});

Then('the keys are {string}', function (this: PagesWorld, keys: string) {
	assert.deepEqual(this.pages.result, keys.split(', '));
});

Then('listing fails with {string}', function (this: PagesWorld, message: string) {
	assert.equal(typeof this.pages.result, 'string', `${this.pages.result.length} keys`);
	assert.ok((this.pages.result as string).includes(message), this.pages.result as string);
});

After(async function (this: Partial<PagesWorld>) {
	await this.pages?.server[Symbol.asyncDispose]();
});
