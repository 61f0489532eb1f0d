/**
 * Types of undici's connection pool and its clients, which are imported alone, since the whole package would use more memory.
 */
declare module 'undici/lib/dispatcher/pool.js' {
	export {default} from 'undici/types/pool.js';
}

declare module 'undici/lib/dispatcher/client.js' {
	export {default} from 'undici/types/client.js';
}
