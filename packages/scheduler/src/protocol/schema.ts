/** Schemas that several wire formats share. */
import * as z from 'zod/mini';

/** An `ExactInteger` as `parseJson` gives it. */
export const exactInteger = z.union([z.int(), z.bigint()]);
