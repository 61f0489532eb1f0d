/**
 * Types of the undici modules that are imported on their own, to keep the memory of an agent low.
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
