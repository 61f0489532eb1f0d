/**
 * Two fake entries, which answer submissions and queries by a common script, in the order of arrival.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** The running entries. */
export type FakeEntries = AsyncDisposable & {
	readonly addresses: readonly string[];
	/** Submissions and queries: index of the entry and id of the job. */
	readonly received: Array<{readonly entry: number; readonly id: string}>;
	readonly mintCounts: number[];
	/** Called when a request arrives that will not be answered. */
	handleHang: () => void;
	/** Closes one entry permanently. */
	closeEntry(entry: number): Promise<void>;
};

type AnswerWriter = (response: ServerResponse, id: string, words: readonly string[]) => void;

function writeJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
}

function writeProblem(response: ServerResponse, id: string, [status, outcome, scope, reason, retry]: readonly string[]): void {
	writeJson(response, Number(status), {
		type: `urn:medlardale:problem:${reason}`, detail: 'why', outcome, scope, id, ...(retry && {retryAfterMs: 1}),
	});
}

const writers: Readonly<Record<string, AnswerWriter>> = {
	complete(response, id) {
		writeJson(response, 200, {id, outcome: 'complete', results: [1]});
	},
	pending(response, id) {
		writeJson(response, 202, {id, outcome: 'pending'});
	},
	cancelled(response, id) {
		writeJson(response, 200, {id, outcome: 'not-run', reason: 'cancelled'});
	},
	lost(response) {
		response.destroy();
	},
	half(response) {
		response.writeHead(200, {'content-length': 100});
		response.write('{"outcome":"complete"', () => response.destroy());
	},
};

async function closeServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}

/**
 * Starts the entries.
 *
 * @param script - Answers in the order in which requests arrive: a name in `writers`, `hang`, `STATUS html`, or
 * `STATUS OUTCOME SCOPE REASON [retry]`.
 * @param repeats - Whether every request gets the first answer of the script.
 * @returns The running entries, which mint the ids a, b, c and so on.
 */
export async function startFakeEntries(script: readonly string[], repeats: boolean): Promise<FakeEntries> {
	const received: Array<{entry: number; id: string}> = [];
	const mintCounts: number[] = [];
	let minted = 0;

	function handleMint(url: string, response: ServerResponse): void {
		const count = Number(url.split('count=')[1]);
		mintCounts.push(count);
		writeJson(response, 200, {ids: Array.from({length: count}, () => (10 + minted++).toString(36))});
	}

	function handleJob(entry: number, id: string, response: ServerResponse): void {
		const answer = script[repeats ? 0 : received.length] ?? '500 unknown request script-ended';
		received.push({entry, id});
		const words = answer.split(' ');
		if (words[1] === 'html') {
			response.writeHead(Number(words[0])).end('<html>');
			return;
		}

		if (answer === 'hang') {
			fake.handleHang();
			return;
		}

		(writers[words[0]] ?? writeProblem)(response, id, words);
	}

	async function handleRequest(entry: number, request: IncomingMessage, response: ServerResponse): Promise<void> {
		await request.resume().toArray();
		const url = request.url ?? '';
		if (url.startsWith('/v1/job-ids')) {
			handleMint(url, response);
		} else {
			handleJob(entry, url.split('/').at(-1)!, response);
		}
	}

	const servers = await Promise.all([0, 1].map(async entry => new Promise<Server>(resolve => {
		const server = createServer((request, response) => {
			void handleRequest(entry, request, response);
		}).listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	})));

	const fake: FakeEntries = {
		handleHang: () => undefined,
		addresses: servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`),
		received,
		mintCounts,
		async closeEntry(entry) {
			await closeServer(servers[entry]);
		},
		async [Symbol.asyncDispose]() {
			await Promise.all(servers.map(async server => closeServer(server)));
		},
	};
	return fake;
}
