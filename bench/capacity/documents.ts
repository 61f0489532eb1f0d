/**
 * Measures how the contract document grows with the number of customers: size, processing times and memory.
 */
import {createHash} from 'node:crypto';
import {applyChange} from '../../src/core/contracts/logic.ts';
import {encodeDocument, parseDocument} from '../../src/core/contracts/parse.ts';
import {computeDigest, emptyDocument} from '../../src/core/contracts/versions.ts';
import type {Contract, ContractDocument} from '../../src/core/contracts/types.ts';
import {createRigCustomer} from '../rig/rig.ts';
import {computeRelativeLine, type LineFit} from './fit.ts';
import {measureHeap} from './heap.ts';

/** Figures of the document as functions of the number of customers. */
export type DocumentFigures = {
	readonly bytes: LineFit;
	readonly parseMs: LineFit;
	readonly digestMs: LineFit;
	readonly heapBytes: LineFit;
	/** Largest size of the document during `changes` changes to the contracts of 100 customers, in bytes. */
	readonly worstBytes: number;
	readonly changes: number;
};

const customerCounts = [1, 10, 25, 50, 100];
const repetitions = 40;
const changes = 450;
const copies = 20;

function createContract(index: number, weight: number): Contract {
	const {contract} = createRigCustomer(`team-${index}`, {
		booking: {urgency: 'high', deadlineMs: 2000},
		quote: {urgency: 'normal', deadlineMs: 5000},
		report: {urgency: 'low', deadlineMs: 60_000},
	}, {weight});
	return {...contract, tokenDigests: [...contract.tokenDigests, createHash('sha256').update(`second-${index}`).digest('hex')]};
}

function applyContract(document: ContractDocument, index: number, weight: number): ContractDocument {
	const contract = createContract(index, weight);
	return applyChange(document, {action: 'apply', customer: contract.customer, contract}, {
		changeId: `change-${index}-${weight}`, operator: 'capacity', changedAt: 1_764_800_000_000,
	}).unwrap();
}

/** Creates a document in which each contract has been changed once after it was added. */
function createDocument(customers: number): ContractDocument {
	let document = emptyDocument;
	for (const weight of [1, 2]) {
		for (let index = 0; index < customers; index++) {
			document = applyContract(document, index, weight);
		}
	}

	return document;
}

/** Returns the median time of a call, in ms. */
function measureMs(run: () => unknown): number {
	const times = Array.from({length: repetitions}, () => {
		const startedAt = performance.now();
		run();
		return performance.now() - startedAt;
	});
	return times.sort((left, right) => left - right)[Math.floor(repetitions / 2)];
}

function measureHeapBytes(text: string): number {
	const {bytes} = measureHeap(() => Array.from({length: copies}, () => parseDocument(text).unwrap()));
	return bytes / copies;
}

function measureWorstBytes(): number {
	let document = createDocument(100);
	let worst = 0;
	for (let change = 0; change < changes; change++) {
		document = applyContract(document, change % 100, 3 + change);
		worst = Math.max(worst, encodeDocument(document).length);
	}

	return worst;
}

/**
 * Measures documents of 1 to 100 customers with three kinds and two tokens each.
 *
 * @returns The figures.
 */
export function measureDocuments(): DocumentFigures {
	const texts = customerCounts.map(count => ({count, text: encodeDocument(createDocument(count))}));
	const fit = (measure: (text: string) => number) => computeRelativeLine(texts.map(({count, text}) => ({x: count, y: measure(text)})));
	return {
		bytes: fit(text => text.length),
		parseMs: fit(text => measureMs(() => parseDocument(text).unwrap())),
		digestMs: fit(text => {
			const document = parseDocument(text).unwrap();
			return measureMs(() => computeDigest(document));
		}),
		heapBytes: fit(text => measureHeapBytes(text)),
		worstBytes: measureWorstBytes(),
		changes,
	};
}
