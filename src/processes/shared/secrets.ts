/**
 * Reads secrets from files or from the environment.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';

const minSecretLength = 16;

/** Thrown when a secret is missing or too short; the message never contains the secret. */
export class SecretError extends Error {
	override readonly name = 'SecretError';
}

/**
 * Reads a secret.
 *
 * @param key - Settings key that names the file, for error messages.
 * @param file - Path of the file; if empty, the environment variable is used.
 * @param variable - Name of the environment variable.
 * @returns The secret.
 */
export async function readSecret(key: string, file: string, variable: string): Promise<string> {
	let secret = process.env[variable] ?? '';
	if (file !== '') {
		try {
			secret = await readFile(file, 'utf8');
		} catch (error) {
			throw new SecretError(`$.${key}: cannot read "${file}": ${(error as Error).message}`);
		}
	}

	secret = secret.trim();
	if (secret.length < minSecretLength) {
		throw new SecretError(`$.${key}: the secret has ${secret.length} characters; at least ${minSecretLength} are needed (file or ${variable})`);
	}

	return secret;
}
