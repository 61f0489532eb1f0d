/**
 * Steps of documents.feature.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import type {Result} from 'ts-results-es';
import {createTokenLookup} from '../../src/adapters/contracts/tokens.ts';
import type {ContractError} from '../../src/core/contracts/errors.ts';
import {applyChange} from '../../src/core/contracts/logic.ts';
import {checkDocument, encodeDocument, parseContract} from '../../src/core/contracts/parse.ts';
import {applyDocument, createDocumentState, type DocumentState} from '../../src/core/contracts/state.ts';
import type {Contract, ContractDocument} from '../../src/core/contracts/types.ts';
import {emptyDocument} from '../../src/core/contracts/versions.ts';

type DocumentWorld = {
	contract: Result<Contract, ContractError>;
	document: ContractDocument;
	documents: ContractDocument[];
	state: DocumentState;
	result: string;
};

const longKinds = Object.fromEntries(Array.from({length: 64}, (_, index) => [`kind-${index}`.padEnd(63, 'x'), {}]));

function createContract(customer: string, extra: object = {}): Contract {
	return parseContract(JSON.stringify({customer, kinds: {booking: {}}, ...extra})).unwrap();
}

function applyContract(document: ContractDocument, contract: Contract): Result<ContractDocument, ContractError> {
	const author = {changeId: `change-${document.revision}`, operator: 'ana', changedAt: document.revision};
	return applyChange(document, {action: 'apply', customer: contract.customer, contract}, author);
}

function createDocument(revision: number, contract: Contract): ContractDocument {
	let document = emptyDocument;
	while (document.revision < revision) {
		document = applyContract(document, contract).unwrap();
	}

	return document;
}

Given(/^the contract (.*)$/, function (this: DocumentWorld, text: string) {
	this.contract = parseContract(text);
});

Then('it is accepted with maxTasksPerJob {int} and deadline {int} of kind {string}', function (this: DocumentWorld, tasks: number, deadline: number, kind: string) {
	const contract = this.contract.unwrap();
	assert.equal(contract.maxTasksPerJob, tasks);
	assert.equal(contract.kinds[kind].deadlineMs, deadline);
});

Then('it is refused with {string}', function (this: DocumentWorld, fault: string) {
	const {message} = this.contract.unwrapErr();
	assert.ok(message.includes(fault), message);
});

Given('a document whose contract has the unknown key {string}', function (this: DocumentWorld, key: string) {
	const contract = {...createContract('hill-country'), [key]: 'blue'};
	this.document = checkDocument({revision: 1, contracts: {'hill-country': contract}, history: []}).unwrap();
});

Then('it is accepted and keeps the key {string}', function (this: DocumentWorld, key: string) {
	assert.ok(Object.hasOwn(this.document.contracts['hill-country'], key));
});

Given('a document with {int} changes of {string}', function (this: DocumentWorld, changes: number, customer: string) {
	this.document = createDocument(changes, createContract(customer));
});

Given('a document with {int} changes of {string} with 64 kinds of long names', function (this: DocumentWorld, changes: number, customer: string) {
	this.document = createDocument(changes, createContract(customer, {kinds: longKinds}));
});

Then('its revision is {int} and its history holds {int} changes', function (this: DocumentWorld, revision: number, changes: number) {
	assert.equal(this.document.revision, revision);
	assert.equal(this.document.history.length, changes);
	assert.equal(this.document.history.at(-1)!.revision, revision);
});

Then('its size is at most {int} bytes and its history holds less than {int} changes', function (this: DocumentWorld, size: number, changes: number) {
	assert.ok(Buffer.byteLength(encodeDocument(this.document)) <= size);
	assert.ok(this.document.history.length < changes);
});

Then('contracts of 64 kinds of long names are refused as {string} before {int} customers have one', function (this: DocumentWorld, kind: string, customers: number) {
	for (let index = 0; index < customers; index++) {
		const next = applyContract(this.document, createContract(`customer-${index}`, {kinds: longKinds}));
		if (next.isErr()) {
			assert.equal(next.error.kind, kind);
			return;
		}

		assert.ok(Buffer.byteLength(encodeDocument(next.value)) <= 900_000);
		this.document = next.value;
	}

	assert.fail('no contract was refused');
});

Given('a process with revision {int} in force', function (this: DocumentWorld, revision: number) {
	this.document = createDocument(revision, createContract('hill-country'));
	this.state = createDocumentState();
	applyDocument(this.state, this.document);
});

When(/^it is offered revision (\d+)( with .*)?$/, function (this: DocumentWorld, revision: string, change: string | null) {
	const {document} = this;
	const {revision: _, ...rest} = document;
	const offers: Record<string, () => ContractDocument> = {
		' with its keys in another order': () => ({...rest, revision: document.revision}),
		' with other content': () => ({...document, contracts: {}}),
	};
	const offer = change === null ? createDocument(Number(revision), createContract('hill-country')) : offers[change]();
	this.result = applyDocument(this.state, offer).type;
});

Then('the result is {string} and revision {int} is in force', function (this: DocumentWorld, result: string, revision: number) {
	assert.equal(this.result, result);
	assert.equal(this.state.version.revision, revision);
	assert.equal(this.state.document.revision, revision);
});

Given('two documents of revision {int}', function (this: DocumentWorld, revision: number) {
	this.documents = ['hill-country', 'scarita'].map(customer => createDocument(revision, createContract(customer)));
});

Then('processes that are offered both in either order have the same one in force', function (this: DocumentWorld) {
	const [first, second] = this.documents;
	const digests = [[first, second], [second, first]].map(offers => {
		const state = createDocumentState();
		for (const offer of offers) {
			applyDocument(state, offer);
		}

		return state.version.digest;
	});
	assert.equal(digests[0], digests[1]);
});

Given('contracts of {string} with token {string} and of {string} with token {string}', function (this: DocumentWorld, left: string, leftToken: string, right: string, rightToken: string) {
	this.document = emptyDocument;
	for (const [customer, token] of [[left, leftToken], [right, rightToken]]) {
		const tokenDigests = [createHash('sha256').update(token).digest('hex')];
		this.document = applyContract(this.document, createContract(customer, {tokenDigests})).unwrap();
	}
});

Then('the tokens find', function (this: DocumentWorld, table: DataTable) {
	const findByToken = createTokenLookup(this.document);
	for (const {token, customer} of table.hashes()) {
		assert.equal(findByToken(token)?.customer ?? '', customer);
	}
});
