/** The error for invalid settings, with which the program exits before it starts a controller. */
import type * as z from 'zod/mini';

/** Invalid settings. The message is one line for the operator and names the field or the line of the file. */
export class SettingsError extends Error {
  readonly code = 'BAD_SETTINGS';

  /** The error for settings that do not match the schema; its message names the first invalid field. */
  static fromSchema(cause: z.core.$ZodError): SettingsError {
    const issue = cause.issues[0];
    const message = `${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'invalid'}`;
    return new SettingsError(message, { cause });
  }
}
