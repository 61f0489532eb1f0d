/**
 * Types of undici's connection pool, which is imported alone, since the whole package would use more memory.
 */
declare module 'undici/lib/dispatcher/pool.js' {
	export {default} from 'undici/types/pool.js';
}
