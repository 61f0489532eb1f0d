/**
 * Streams between the processes of the model: at most one on each link, with heartbeats as in the real processes. A
 * heartbeat arrives at once unless the link is cut.
 */
import {
	chooseHeartbeatAction, createContactState, isContactExpired, recordContact, recordHeartbeatSent, recordMessagesSent,
} from '../../src/adapters/peer/heartbeat.ts';
import {isAwaitedMessage} from '../../src/core/links/awaited.ts';
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import {dialIntervalMs, heartbeatOptions} from './constants.ts';
import type {
	Frame, Link, LinkEnd, Model, ProcessName,
} from './types.ts';

/** What a process does on events of its links. */
export type LinkHandlers = {
	onConnect(model: Model, name: ProcessName, peer: ProcessName): void;
	onDisconnect(model: Model, name: ProcessName, peer: ProcessName): void;
	onMessage(model: Model, name: ProcessName, peer: ProcessName, message: DispatchMessage): void;
	/** Whether no task depends on the stream. */
	isQuiet(model: Model, name: ProcessName, peer: ProcessName): boolean;
};

function createEnd(name: ProcessName, peer: ProcessName): LinkEnd {
	return {
		name, peer, stream: undefined, contact: createContactState(0), isCut: false, frames: [],
	};
}

/** Creates the link between two processes, of which the first one opens the streams. */
export function createLink(opener: ProcessName, acceptor: ProcessName): Link {
	return {
		name: `${opener}-${acceptor}`, ends: [createEnd(opener, acceptor), createEnd(acceptor, opener)], healedAt: 0, lastStream: 0, opening: undefined,
	};
}

/** Returns whether a frame is delivered without an event of its own: load reports, and mere signs of life. */
export function isSilentFrame({message}: Frame): boolean {
	return message?.type === 'load' || message?.type === 'jobs-seen';
}

function addFrame(end: LinkEnd, type: Frame['type'], stream: number, sentAt: number, message?: DispatchMessage): void {
	end.frames.push({
		type, stream, sentAt, ...(message && {message}),
	});
}

/** Returns the end at a process of its link to another one. */
export function findEnd(model: Model, name: ProcessName, peer: ProcessName): LinkEnd {
	const link = model.links[`${name}-${peer}`] ?? model.links[`${peer}-${name}`];
	return link.ends.find(end => end.name === name)!;
}

/** Sends a message if a stream is open. */
export function sendMessage(model: Model, name: ProcessName, peer: ProcessName, message: DispatchMessage): void {
	const end = findEnd(model, name, peer);
	if (end.stream === undefined) {
		return;
	}

	recordMessagesSent(end.contact, isAwaitedMessage(message), model.now);
	addFrame(end, 'message', end.stream, model.now, message);
}

/** Lists the processes to which a process has an open stream. */
export function listConnected(model: Model, name: ProcessName): readonly LinkEnd[] {
	return Object.values(model.links).flatMap(({ends}) => ends.filter(end => end.name === name && end.stream !== undefined));
}

function openEnd(model: Model, end: LinkEnd, stream: number): void {
	end.stream = stream;
	end.contact = createContactState(model.now);
}

function closeEnd(model: Model, handlers: LinkHandlers, end: LinkEnd, isTold: boolean): void {
	if (end.stream === undefined) {
		return;
	}

	if (isTold) {
		addFrame(end, 'close', end.stream, model.now);
	}

	end.stream = undefined;
	handlers.onDisconnect(model, end.name, end.peer);
}

type FrameHandler = (model: Model, handlers: LinkHandlers, link: Link, end: LinkEnd, frame: Frame) => void;

const frameHandlers: Record<Frame['type'], FrameHandler> = {
	open(model, handlers, _link, end, {stream}) {
		closeEnd(model, handlers, end, false);
		openEnd(model, end, stream);
		addFrame(end, 'opened', stream, model.now);
		handlers.onConnect(model, end.name, end.peer);
	},
	opened(model, handlers, link, end, {stream}) {
		if (link.opening !== stream) {
			addFrame(end, 'close', stream, model.now);
			return;
		}

		link.opening = undefined;
		openEnd(model, end, stream);
		handlers.onConnect(model, end.name, end.peer);
	},
	close(model, handlers, _link, end, {stream}) {
		if (end.stream === stream) {
			closeEnd(model, handlers, end, false);
		}
	},
	message(model, handlers, _link, end, {stream, message}) {
		if (end.stream !== stream) {
			return;
		}

		if (isContactExpired('one-way', end.contact, heartbeatOptions, model.now)) {
			closeEnd(model, handlers, end, true);
			return;
		}

		recordContact(end.contact, model.now);
		handlers.onMessage(model, end.name, end.peer, message!);
	},
};

function handleFirstFrame(model: Model, handlers: LinkHandlers, link: Link, from: 0 | 1): Frame {
	const frame = link.ends[from].frames.shift()!;
	frameHandlers[frame.type](model, handlers, link, link.ends[1 - from], frame);
	return frame;
}

/** Delivers the frames of one end up to the first one that has an event of its own. */
export function handleFrames(model: Model, handlers: LinkHandlers, link: Link, from: 0 | 1): void {
	while (isSilentFrame(handleFirstFrame(model, handlers, link, from))) {
		// Load reports go before it.
	}
}

/** Delivers the load reports that are first on their links. */
export function handleSilentFrames(model: Model, handlers: LinkHandlers): void {
	for (const link of Object.values(model.links)) {
		for (const from of [0, 1] as const) {
			while (!link.ends[from].isCut && link.ends[from].frames.length > 0 && isSilentFrame(link.ends[from].frames[0])) {
				handleFirstFrame(model, handlers, link, from);
			}
		}
	}
}

/** Opens the streams that are missing. */
export function openStreams(model: Model): void {
	for (const link of Object.values(model.links)) {
		const [opener, acceptor] = link.ends;
		if (opener.stream === undefined && link.opening === undefined && !opener.isCut && !acceptor.isCut && model.now % dialIntervalMs === 0) {
			link.lastStream++;
			link.opening = link.lastStream;
			addFrame(opener, 'open', link.lastStream, model.now);
		}
	}
}

/** Sends the heartbeats that are due, and closes the streams of silent processes. */
export function checkContacts(model: Model, handlers: LinkHandlers): void {
	for (const link of Object.values(model.links)) {
		for (const [index, end] of link.ends.entries()) {
			const isQuiet = (): boolean => handlers.isQuiet(model, end.name, end.peer);
			const action = end.stream === undefined ? 'none' : chooseHeartbeatAction('one-way', end.contact, heartbeatOptions, model.now, isQuiet);
			if (action === 'close') {
				closeEnd(model, handlers, end, true);
			} else if (action === 'send') {
				sendHeartbeat(model, end, link.ends[1 - index], isQuiet());
			}
		}
	}
}

function sendHeartbeat({now}: Model, end: LinkEnd, other: LinkEnd, isQuiet: boolean): void {
	recordHeartbeatSent(end.contact, isQuiet, now);
	if (!end.isCut && other.stream === end.stream) {
		recordContact(other.contact, now, isQuiet);
	}
}

/** Loses the stream of a link and all that is on its way; both ends learn of it. */
export function resetLink(model: Model, link: Link): void {
	link.opening = undefined;
	for (const [index, end] of link.ends.entries()) {
		end.frames = [];
		const {stream} = link.ends[1 - index];
		if (stream !== undefined) {
			addFrame(end, 'close', stream, model.now);
		}
	}
}

