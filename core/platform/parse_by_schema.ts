/**
 * Parses the texts of the platform's objects.
 *
 * @module
 */
import * as v from "valibot";

/**
 * Parses a JSON text by a schema.
 *
 * @param schema Schema that the value must fit.
 * @param text JSON text.
 * @returns The value, or `undefined` where `text` is no JSON or does not fit.
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
