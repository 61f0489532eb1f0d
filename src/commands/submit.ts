/**
 * The command `submit FILE`: submits a job and prints its results.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import type {Result} from 'ts-results-es';
import type {CommandOptions, CommandRunner} from '../api/commands.ts';
import {createClient, type ClientError, type CompleteJob} from '../client/client.ts';
import {exitCodes} from './exit-codes.ts';
import {readJobFile} from './submit/job-file.ts';
import {describeSubmitError, getSubmitExitCode} from './submit/outcome.ts';

function printInputError(message: string): number {
	process.stderr.write(`medlardale: ${message}\n`);
	return exitCodes.badInput;
}

async function readToken(options: CommandOptions): Promise<string> {
	const file = options['token-file'];
	const token = typeof file === 'string' ? await readFile(file, 'utf8') : String(options.token ?? '');
	return token.trim();
}

function printOutcome(result: Result<CompleteJob, ClientError>, isJson: boolean): number {
	if (isJson) {
		const {type, ...job} = result.isOk() ? result.value : {type: result.error.kind, ...result.error};
		process.stdout.write(`${JSON.stringify({outcome: type, ...job})}\n`);
	} else if (result.isOk()) {
		process.stderr.write(`job ${result.value.id}: complete, ${result.value.results.length} results\n`);
		process.stdout.write(`${result.value.results.map(value => JSON.stringify(value)).join('\n')}\n`);
	} else {
		process.stderr.write(`${describeSubmitError(result.error).join('\n')}\n`);
	}

	return result.isOk() ? exitCodes.ok : getSubmitExitCode(result.error);
}

/**
 * Submits a job.
 *
 * @param args - The path of the job file.
 * @param options - `entry`, `token` or `token-file`, `id`, `json`.
 * @returns The exit code by outcome.
 */
export const runCommand: CommandRunner = async ([file], options) => {
	const entries = String(options.entry ?? '').split(',').filter(Boolean);
	if (entries.length === 0) {
		return printInputError('--entry: must be addresses of entries, such as 127.0.0.1:8080 (value: absent)');
	}

	let token: string;
	try {
		token = await readToken(options);
	} catch (error) {
		return printInputError(`--token-file: cannot be read: ${(error as Error).message}`);
	}

	// The option --token without a value arrives as true.
	if (token === '' || token === 'true') {
		return printInputError('--token: must be a token of the customer\'s contract; or pass a file with --token-file (value: absent)');
	}

	const job = await readJobFile(file);
	if (job.isErr()) {
		return printInputError(job.error.message);
	}

	// One job is submitted: no stock of ids is needed.
	await using client = createClient({entries, token, idStock: 0});
	const result = await client.submitJob(job.value, typeof options.id === 'string' ? {id: options.id} : {});
	return printOutcome(result, options.json === true);
};
