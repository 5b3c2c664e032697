import { XMLParser, XMLValidator } from 'fast-xml-parser';
import * as z from 'zod/mini';

/** What operators may set beyond the platform's file. */
export interface OperatorSettings {
  logLevel: string | null;
}

const schema = z.object({
  onyxkeel: z.object({
    log: z.nullish(z.object({ level: z.nullish(z.enum(['error', 'warn', 'info', 'debug'])) })),
  }),
});

/** Reads the operators' XML; throws an error of one line where it is bad. Unknown elements are ignored. */
export function readOperatorSettings(text: string): OperatorSettings {
  // eslint-disable-next-line @typescript-eslint/no-deprecated -- its successor package is not needed beside this one
  const valid = XMLValidator.validate(text);
  if (valid !== true) throw new Error(`line ${String(valid.err.line)}: ${valid.err.msg}`);
  const parsed = new XMLParser({ ignoreAttributes: true, parseTagValue: false }).parse(text) as unknown;
  const result = z.safeParse(schema, parsed);
  if (!result.success) {
    const issue = result.error.issues[0];
    throw new Error(`${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'invalid'}`);
  }
  return { logLevel: result.data.onyxkeel.log?.level ?? null };
}
