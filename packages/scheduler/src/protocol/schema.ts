/** Schemas shared by several wire formats. */
import * as z from 'zod/mini';

/** An `ExactInteger` as `parseJson` returns it. */
export const exactInteger = z.union([z.int(), z.bigint()]);
