/**
 * Parses contracts and contract documents, and encodes documents as text.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {z} from 'zod';
import type {ContractError} from './errors.ts';
import {contractSchema, documentSchema} from './schema.ts';
import type {Contract, ContractDocument} from './types.ts';

/** Longer values are shortened in messages. */
const maxValueLength = 80;

function findValue(root: unknown, path: readonly PropertyKey[]): unknown {
	let value = root;
	for (const key of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return value;
}

function describeIssue(input: unknown, issue: z.core.$ZodIssue): string[] {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => describeViolation(input, [...issue.path, key], 'no such key'));
	}

	const rule = issue.code === 'invalid_key' ? issue.issues.map(({message}) => message).join(', ') : issue.message;
	return [describeViolation(input, issue.path, rule)];
}

function describeViolation(input: unknown, keys: readonly PropertyKey[], rule: string): string {
	const path = ['$', ...keys.map(key => typeof key === 'number' ? `[${key}]` : `.${String(key)}`)].join('');
	const value = JSON.stringify(findValue(input, keys)) ?? 'absent';
	const shown = value.length > maxValueLength ? `${value.slice(0, maxValueLength - 3)}...` : value;
	return `${path}: ${rule} (value: ${shown})`;
}

function parseJson(text: string, what: string): Result<unknown, ContractError> {
	try {
		return Ok(JSON.parse(text));
	} catch (error) {
		return Err({kind: 'malformed', message: `${what} is not JSON: ${(error as Error).message}`});
	}
}

function checkValue<Value>(schema: z.ZodType<Value>, input: unknown): Result<Value, ContractError> {
	const parsed = schema.safeParse(input);
	if (parsed.success) {
		return Ok(parsed.data);
	}

	return Err({kind: 'invalid', message: parsed.error.issues.flatMap(issue => describeIssue(input, issue)).join('\n')});
}

/**
 * Parses a contract that an operator applies.
 *
 * @param text - JSON text.
 * @returns The contract with defaults, or an error with one line per issue: JSON path, rule, value.
 */
export function parseContract(text: string): Result<Contract, ContractError> {
	return parseJson(text, 'contract').andThen(input => checkValue<Contract>(contractSchema, input));
}

/**
 * Validates a document given as a parsed value.
 *
 * @param input - The value, such as a peer's reply.
 * @returns The document, or an error with one line per issue.
 */
export function checkDocument(input: unknown): Result<ContractDocument, ContractError> {
	return checkValue<ContractDocument>(documentSchema, input);
}

/**
 * Parses a document from the store.
 *
 * @param text - JSON text.
 * @returns The document, or an error with one line per issue.
 */
export function parseDocument(text: string): Result<ContractDocument, ContractError> {
	return parseJson(text, 'contract document').andThen(input => checkDocument(input));
}

/**
 * Encodes a document for the store.
 *
 * @param document - The document.
 * @returns JSON text.
 */
export function encodeDocument(document: ContractDocument): string {
	return JSON.stringify(document);
}
