/**
 * Encodes states, to copy and to hash them. The states of the processes are encoded apart: most events touch one of them,
 * and the others are passed on as they are.
 */
import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {Packr} from 'msgpackr';
import type {Timings} from '../../src/core/bounds/types.ts';
import type {AgentModel, EntryModel, Model} from './types.ts';

/** Most shapes of objects that are encoded by number. */
const maxShapes = 4000;

const packr = new Packr({
	structuredClone: true, moreTypes: true, structures: [], maxSharedStructures: maxShapes,
});

/** An encoded state. */
export type EncodedModel = {
	readonly shared: Buffer;
	/** States of the processes, in the order of `listProcesses`. */
	readonly processes: readonly Buffer[];
};

type ProcessModel = EntryModel | AgentModel;

/** Process states that have not been decoded. */
const untouched = new WeakMap<ProcessModel, Buffer>();

function listProcesses({entries, agents}: Model): readonly ProcessModel[] {
	return [...Object.values(entries), ...Object.values(agents)];
}

/** Sets the time limits in the state of a process, which are the same in all states and not encoded. */
function setTimings({state}: ProcessModel, timings: Timings | undefined): void {
	if ('options' in state) {
		state.options = {...state.options, timings: timings!};
	} else {
		state.timings = timings!;
	}
}

function encodeProcess(model: ProcessModel): Buffer {
	const encoded = untouched.get(model);
	if (encoded !== undefined) {
		return encoded;
	}

	setTimings(model, undefined);
	return packr.pack(model.state);
}

/**
 * Encodes a state, which must not be used any more.
 *
 * @param model - The state.
 * @returns The encoded state.
 */
export function encodeModel(model: Model): EncodedModel {
	const processes = listProcesses(model);
	const encoded = processes.map(entry => encodeProcess(entry));
	for (const process of processes) {
		Object.defineProperty(process, 'state', {value: undefined, enumerable: true});
	}

	return {shared: packr.pack(model), processes: encoded};
}

/** Decodes the state of a process once it is used. */
function decodeLater(process: ProcessModel, encoded: Buffer, timings: Timings): void {
	untouched.set(process, encoded);
	Object.defineProperty(process, 'state', {
		configurable: true,
		enumerable: true,
		get() {
			untouched.delete(process);
			Object.defineProperty(process, 'state', {
				value: packr.unpack(encoded) as unknown, configurable: true, enumerable: true, writable: true,
			});
			setTimings(process, timings);
			return process.state;
		},
	});
}

/**
 * Decodes a state.
 *
 * @param encoded - The encoded state.
 * @param timings - Time limits of the processes.
 * @returns The state.
 */
export function decodeModel({shared, processes}: EncodedModel, timings: Timings): Model {
	const model = packr.unpack(shared) as Model;
	for (const [index, process] of listProcesses(model).entries()) {
		decodeLater(process, processes[index], timings);
	}

	return model;
}

/** Computes the hash of an encoded state. */
export function computeHash({shared, processes}: EncodedModel): string {
	const hash = createHash('sha1');
	for (const part of [shared, ...processes]) {
		hash.update(part);
	}

	return hash.digest('base64');
}
