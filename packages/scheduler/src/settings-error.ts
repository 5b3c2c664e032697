/** The error of bad settings, which ends the program before it starts. */
import type * as z from 'zod/mini';

/** Bad settings. The message is one line for the operator that names the field or the line of the file. */
export class SettingsError extends Error {
  readonly code = 'BAD_SETTINGS';

  /**
   * The error for settings that don't have the schema's form; its message names the first field that is
   * wrong.
   */
  static fromSchema(cause: z.core.$ZodError): SettingsError {
    const issue = cause.issues[0];
    const message = `${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'invalid'}`;
    return new SettingsError(message, { cause });
  }
}
