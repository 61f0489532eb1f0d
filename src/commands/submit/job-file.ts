/**
 * Reads the job file of the command `submit`.
 */
import {readFile} from 'node:fs/promises';
import {Err, Ok, type Result} from 'ts-results-es';
import * as z from 'zod';
import type {JobDescription} from '../../client/types.ts';
import {describeIssues} from '../../settings/issues.ts';

/** Why a job file was refused; `message` has one line per error. */
export type JobFileError = {
	readonly kind: 'unreadable' | 'malformed' | 'invalid';
	readonly message: string;
};

const jobSchema = z.strictObject({
	kind: z.string().min(1).max(63),
	deadlineMs: z.int().min(1).optional(),
	idempotent: z.boolean().default(false),
	tasks: z.array(z.strictObject({body: z.json()})).min(1),
});

/**
 * Parses a job in the format of the HTTP interface.
 *
 * @param file - Name of the file, for messages.
 * @param text - Content of the file.
 * @returns The job, or all errors found.
 */
export function parseJobFile(file: string, text: string): Result<JobDescription, JobFileError> {
	let input: unknown;
	try {
		input = JSON.parse(text);
	} catch (error) {
		return Err({kind: 'malformed', message: `job file "${file}" is not JSON: ${(error as Error).message}`});
	}

	const parsed = jobSchema.safeParse(input);
	if (!parsed.success) {
		return Err({kind: 'invalid', message: `job file "${file}" was refused, nothing was submitted:\n${describeIssues(input, parsed.error)}`});
	}

	const {tasks, ...job} = parsed.data;
	return Ok({...job, tasks: tasks.map(({body}) => body)});
}

/**
 * Reads a job file.
 *
 * @param file - Path of the JSON file.
 * @returns The job, or why the file was refused.
 */
export async function readJobFile(file: string): Promise<Result<JobDescription, JobFileError>> {
	try {
		return parseJobFile(file, await readFile(file, 'utf8'));
	} catch (error) {
		return Err({kind: 'unreadable', message: `cannot read job file "${file}": ${(error as Error).message}`});
	}
}
