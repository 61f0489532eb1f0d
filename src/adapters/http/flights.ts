/**
 * Keeps account of requests in flight, for draining and for faults on a connection in use.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Account of requests in flight. */
export type InFlightTracker = {
	/** Counts a request as in flight until its response is written or its connection is closed. */
	addRequest(request: IncomingMessage, response: ServerResponse): void;
	/** Counts work as in flight until it settles; resolves with it. */
	addWork(work: Promise<void>): Promise<void>;
	/** Returns whether a request that was read as a whole, or is being answered, is in flight on the connection. */
	hasPendingResponse(socket: Socket): boolean;
	/** Makes every response in flight close its connection. */
	closeAfterResponse(): void;
	/** Resolves once nothing is in flight. */
	waitIdle(): Promise<void>;
};

/**
 * Creates an empty account.
 *
 * @returns The account.
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
