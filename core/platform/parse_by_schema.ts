/**
 * Parses the texts of objects in the platform's store.
 *
 * @module
 */
import * as v from "valibot";

/**
 * Parses a JSON text and validates it against a schema.
 *
 * @param schema Schema of the value.
 * @param text JSON text.
 * @returns The value; `undefined` if `text` is not valid JSON or does not match the schema.
 */
export function parseBySchema<Schema extends v.GenericSchema>(
    schema: Schema,
    text: string,
): v.InferOutput<Schema> | undefined {
    try {
        const parsed = v.safeParse(schema, JSON.parse(text));
        return parsed.success ? parsed.output : undefined;
    }
    catch {
        return undefined;
    }
}
