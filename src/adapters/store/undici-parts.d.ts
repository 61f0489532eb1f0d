/**
 * Types of the parts of undici that are loaded on their own, to keep an agent's memory low.
 */
declare module 'undici/lib/dispatcher/pool.js' {
	import type {Pool} from 'undici';

	const constructor: typeof Pool;
	export default constructor;
}

declare module 'undici/lib/api/api-request.js' {
	import type {Dispatcher} from 'undici';

	const request: (this: Dispatcher, options: Dispatcher.RequestOptions) => Promise<Dispatcher.ResponseData>;
	export default request;
}
