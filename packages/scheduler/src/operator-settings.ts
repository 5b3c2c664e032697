/** The operators' own settings, an XML file: their schema and how they are read. */
import { XMLParser, XMLValidator } from 'fast-xml-parser';
import * as z from 'zod/mini';
import { SettingsError } from './settings-error.ts';

/** Settings of the operators in addition to the platform's settings. */
export interface OperatorSettings {
  /** One of the levels of pino that the program uses; null if it is not set. */
  readonly logLevel: string | null;
}

const schema = z.object({
  onyxkeel: z.object({
    log: z.nullish(z.object({ level: z.nullish(z.enum(['error', 'warn', 'info', 'debug'])) })),
  }),
});

/** Reads the operators' XML. Unknown elements are ignored. Throws a `SettingsError` for invalid settings. */
export function readOperatorSettings(text: string): OperatorSettings {
  // eslint-disable-next-line @typescript-eslint/no-deprecated -- its successor package is not needed beside this one
  const valid = XMLValidator.validate(text);
  if (valid !== true) throw new SettingsError(`line ${String(valid.err.line)}: ${valid.err.msg}`);
  const parsed = new XMLParser({ ignoreAttributes: true, parseTagValue: false }).parse(text) as unknown;
  const result = z.safeParse(schema, parsed);
  if (!result.success) throw SettingsError.fromSchema(result.error);
  return { logLevel: result.data.onyxkeel.log?.level ?? null };
}
