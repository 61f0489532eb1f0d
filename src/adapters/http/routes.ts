/**
 * The routes of the HTTP interface, with authentication and draining.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka, {type Request} from 'polka';
import type {ContractSource} from '../../ports/contracts.ts';
import type {Log} from '../../ports/log.ts';
import {writeProblem, writeResponse} from './answers.ts';
import {
	createCallHandlers, getRefusalOutcome, type CallHandler, type CallOptions,
} from './calls.ts';
import {describeValue, type HttpError} from './errors.ts';
import {createErrorProblem} from './problems.ts';

/** Dependencies of the routes. */
export type RouteOptions = CallOptions & {
	readonly contracts: ContractSource;
	readonly log: Log;
	/** Renders the metrics of this process as text. */
	renderMetrics(): string | Promise<string>;
	/** Returns whether this process refuses new requests because it is shutting down. */
	isDraining(): boolean;
	/** Tracks work until it settles, even if its caller disconnects. */
	addWork(work: Promise<void>): Promise<void>;
};

/** Handles a request; the response is written asynchronously. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

type RouteHandler = (request: Request, response: ServerResponse) => Promise<void>;

const bearerPattern = /^bearer ([\w.~+/-]+=*)$/i;
const metricsType = 'text/plain; version=0.0.4; charset=utf-8';

function findToken(request: IncomingMessage): string | undefined {
	return bearerPattern.exec(request.headers.authorization ?? '')?.[1];
}

function writeError(request: Request, response: ServerResponse, error: HttpError): void {
	writeProblem(request, response, createErrorProblem(error, getRefusalOutcome(request), request.params?.id));
}

function createMethodNotAllowedHandler(allowed: string): RouteHandler {
	return async (request, response) => {
		response.setHeader('Allow', allowed);
		writeError(request, response, {
			kind: 'method-not-allowed', field: 'method', value: request.method, message: `allowed at this path: ${allowed}`,
		});
	};
}

async function handleUnknownPath(request: Request, response: ServerResponse): Promise<void> {
	const value = describeValue(request.path);
	writeError(request, response, {
		kind: 'not-found', field: 'path', value, message: `there is nothing at this path (value: ${value})`,
	});
}

/**
 * Creates the handler of all requests.
 *
 * @param options - Ports and limits, and whether the process is draining.
 * @returns The handler.
 */
export function createRequestHandler(options: RouteOptions): RequestHandler {
	const {jobs, contracts, log} = options;

	async function handleCall(handler: CallHandler, request: Request, response: ServerResponse): Promise<void> {
		if (options.isDraining()) {
			writeError(request, response, {kind: 'leaving', message: 'this process is shutting down; submit to another entry', retryAfter: 0});
			return;
		}

		if (!contracts.isReady()) {
			writeError(request, response, {kind: 'not-ready', message: 'this entry has no contracts yet; submit again under the same id'});
			return;
		}

		const token = findToken(request);
		const contract = token === undefined ? undefined : contracts.findContractByToken(token);
		if (contract === undefined) {
			writeError(request, response, {kind: 'unauthorized', message: 'a bearer token of a customer is required'});
			return;
		}

		const result = await handler({request, response, contract});
		if (result.isErr()) {
			writeError(request, response, result.error);
		}
	}

	async function runCall(handler: CallHandler, request: Request, response: ServerResponse): Promise<void> {
		try {
			await handleCall(handler, request, response);
		} catch (error) {
			log.error(`${request.method} ${request.path} failed: ${(error as Error).message}`);
			writeProblem(request, response, createErrorProblem({kind: 'internal-error', message: 'the request may have taken effect'}, 'unknown', request.params?.id));
		}
	}

	function createRoute(handler: CallHandler): RouteHandler {
		return async (request, response) => options.addWork(runCall(handler, request, response));
	}

	async function handleLiveness(_request: Request, response: ServerResponse): Promise<void> {
		writeResponse(response, 200, 'text/plain', 'ok\n');
	}

	async function handleReadiness(_request: Request, response: ServerResponse): Promise<void> {
		const ready = jobs.isReady() && !options.isDraining();
		writeResponse(response, ready ? 200 : 503, 'text/plain', ready ? 'ready\n' : 'not ready\n');
	}

	async function handleMetrics(_request: Request, response: ServerResponse): Promise<void> {
		writeResponse(response, 200, metricsType, await options.renderMetrics());
	}

	const handlers = createCallHandlers(options);
	const app = polka({onNoMatch: handleUnknownPath});
	const routes: ReadonlyArray<readonly [path: string, methods: Readonly<Record<string, RouteHandler>>]> = [
		['/v1/job-ids', {POST: createRoute(handlers.mintIds)}],
		['/v1/jobs', {POST: createRoute(handlers.submitNewJob)}],
		['/v1/jobs/:id', {GET: createRoute(handlers.queryJob), PUT: createRoute(handlers.submitJob), DELETE: createRoute(handlers.cancelJob)}],
		['/healthz', {GET: handleLiveness}],
		['/readyz', {GET: handleReadiness}],
		['/metrics', {GET: handleMetrics}],
	];
	for (const [path, methods] of routes) {
		for (const [method, handler] of Object.entries(methods)) {
			app.add(method as 'GET', path, handler as never);
		}

		app.all(path, createMethodNotAllowedHandler(Object.keys(methods).join(', ')) as never);
	}

	return (request, response) => {
		app.handler(request as Request, response);
	};
}
