/**
 * Tracks requests in flight, for draining and for parser errors on a connection with a pending response.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Tracks requests in flight. */
export type InFlightTracker = {
	/** Tracks a request until its response is written or its connection is closed. */
	addRequest(request: IncomingMessage, response: ServerResponse): void;
	/** Tracks work until it settles; settles with it. */
	addWork(work: Promise<void>): Promise<void>;
	/** Returns whether a request on the connection has been read completely, or is being answered, and its response is not finished. */
	hasPendingResponse(socket: Socket): boolean;
	/** Makes every response in flight close its connection once it is written. */
	closeAfterResponse(): void;
	/** Resolves once nothing is in flight. */
	waitIdle(): Promise<void>;
};

/**
 * Creates a tracker.
 *
 * @returns The tracker, with nothing in flight.
 */
export function createInFlightTracker(): InFlightTracker {
	const responses = new Map<ServerResponse, IncomingMessage>();
	const works = new Set<Promise<void>>();
	const waiting: Array<() => void> = [];

	function isIdle(): boolean {
		return responses.size === 0 && works.size === 0;
	}

	function checkIdle(): void {
		if (isIdle()) {
			for (const resolve of waiting.splice(0)) {
				resolve();
			}
		}
	}

	return {
		addRequest(request, response) {
			responses.set(response, request);
			response.once('close', () => {
				responses.delete(response);
				checkIdle();
			});
		},
		async addWork(work) {
			works.add(work);
			try {
				await work;
			} finally {
				works.delete(work);
				checkIdle();
			}
		},
		hasPendingResponse(socket) {
			return [...responses].some(([response, request]) => request.socket === socket && (request.complete || response.headersSent));
		},
		closeAfterResponse() {
			for (const response of responses.keys()) {
				if (!response.headersSent) {
					response.setHeader('Connection', 'close');
				}
			}
		},
		async waitIdle() {
			if (!isIdle()) {
				await new Promise<void>(resolve => {
					waiting.push(resolve);
				});
			}
		},
	};
}
