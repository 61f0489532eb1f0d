/**
 * What the processes of the model do on events of their links.
 */
import {agentHandlers} from './agent.ts';
import {entryHandlers} from './entry.ts';
import type {LinkHandlers} from './links.ts';
import type {Model, ProcessName} from './types.ts';

function getHandlers({entries}: Model, name: ProcessName): LinkHandlers {
	return name in entries ? entryHandlers : agentHandlers;
}

/** Passes each event on to the kind of process that it is for. */
export const linkHandlers: LinkHandlers = {
	onConnect(model, name, peer) {
		getHandlers(model, name).onConnect(model, name, peer);
	},
	onDisconnect(model, name, peer) {
		getHandlers(model, name).onDisconnect(model, name, peer);
	},
	onMessage(model, name, peer, message) {
		getHandlers(model, name).onMessage(model, name, peer, message);
	},
	isQuiet: (model, name, peer) => getHandlers(model, name).isQuiet(model, name, peer),
};
