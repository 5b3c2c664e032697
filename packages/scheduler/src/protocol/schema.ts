import * as z from 'zod/mini';

/** A whole number below 2^64 as the JSON reader gives it. */
export const int = z.union([z.int(), z.bigint()]);
/** A field that may be null or left out. */
export const optional = <T extends z.ZodMiniType>(type: T) => z.nullish(type);
