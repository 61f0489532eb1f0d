/**
 * Reads bodies of requests.
 */
import type {IncomingMessage} from 'node:http';
import {Err, Ok, type Result} from 'ts-results-es';
import {createBodyBuffer} from './body-buffer.ts';
import {clients, type BodyFault} from './clients.ts';

/**
 * Reads the body of a request, within the budget of the receiver of its connection if it has one.
 *
 * @param request - The request.
 * @param maxBytes - Maximum size, in bytes.
 * @returns The body, or why it was not received; then nothing is read any more.
 */
export async function readBytes(request: IncomingMessage, maxBytes: number): Promise<Result<Uint8Array, BodyFault>> {
	const client = request.socket && clients.get(request.socket);
	const buffer = createBodyBuffer();
	let allocated = 0;

	/** Returns whether the connection counts this body, and not that of a later pipelined request. */
	function isCounted(): boolean {
		return client?.bodyRequest === request;
	}

	return new Promise(resolve => {
		function handleResult(result: Result<Uint8Array, BodyFault>): void {
			request.off('data', handleChunk).off('end', handleEnd).off('close', handleClose);
			if (client !== undefined && (isCounted() || client.bodyRequest === undefined)) {
				client.endBody = undefined;
				client.resumeBody = undefined;
				client.setBodyBytes(0);
			}

			resolve(result);
		}

		function handleChunk(chunk: Uint8Array): void {
			if (buffer.getSize() + chunk.length > maxBytes) {
				handleResult(Err('too-large'));
				return;
			}

			buffer.addChunk(chunk);
			if (!isCounted()) {
				return;
			}

			client!.recordBodyProgress();
			if (buffer.getAllocatedBytes() > allocated) {
				allocated = buffer.getAllocatedBytes();
				client!.setBodyBytes(allocated);
			}

			checkPressure();
		}

		/** Pauses the body while it has to wait; the next check of the receiver decides anew. */
		function checkPressure(): void {
			if (client?.endBody === undefined) {
				return;
			}

			if (client.updateBodyWait()) {
				client.resumeBody = checkPressure;
				request.pause();
			} else if (client.resumeBody !== undefined) {
				client.resumeBody = undefined;
				request.resume();
			}
		}

		function handleEnd(): void {
			handleResult(Ok(buffer.getBytes()));
		}

		function handleClose(): void {
			handleResult(Err('incomplete'));
		}

		if (client !== undefined && isCounted()) {
			client.endBody = fault => {
				handleResult(Err(fault));
			};
		}

		request.on('data', handleChunk).on('end', handleEnd).on('close', handleClose).on('error', () => undefined);
	});
}
