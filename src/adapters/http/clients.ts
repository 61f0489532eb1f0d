/**
 * Connections of the clients of all receivers of a process.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {ClientStream} from './client-stream.ts';

/** Why a body was not received. */
export type BodyFault = 'too-large' | 'incomplete' | 'slow' | 'no-memory';

/** One connection. */
export type Client = {
	readonly id: number;
	readonly stream: ClientStream;
	readonly server: Server;
	readonly responses: Set<ServerResponse>;
	/** Bytes read before the next header. */
	bytesBefore: number;
	/** The request whose body is being received; of pipelined ones the last. */
	bodyRequest: IncomingMessage | undefined;
	/** Ends the body that is being read. */
	endBody: ((fault: BodyFault) => void) | undefined;
	/** Continues to read a body that waits. */
	resumeBody: (() => void) | undefined;
	setBodyBytes(bytes: number): void;
	recordBodyProgress(): void;
	updateBodyWait(): boolean;
	recordBodyEnd(): void;
};

/** Connections of all receivers. */
export const clients = new WeakMap<Duplex, Client>();
