import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: objects are maps, arrays are lists, integers are longs. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        skip();
        char c = text.charAt(position);
        if (c == '{') return objectValue();
        if (c == '[') return arrayValue();
        if (c == '"') return stringValue();
        int start = position;
        while (position < text.length() && ",]} \t\r\n".indexOf(text.charAt(position)) < 0) position++;
        String token = text.substring(start, position);
        return switch (token) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> token.matches("-?\\d+") ? (Object) Long.valueOf(token) : Double.valueOf(token);
        };
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> fields = new LinkedHashMap<>();
        position++;
        skip();
        while (text.charAt(position) != '}') {
            skip();
            String name = stringValue();
            skip();
            position++;
            fields.put(name, value());
            skip();
            if (text.charAt(position) == ',') position++;
            skip();
        }
        position++;
        return fields;
    }

    private List<Object> arrayValue() {
        List<Object> items = new ArrayList<>();
        position++;
        skip();
        while (text.charAt(position) != ']') {
            items.add(value());
            skip();
            if (text.charAt(position) == ',') position++;
            skip();
        }
        position++;
        return items;
    }

    private String stringValue() {
        StringBuilder out = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> out.append(escaped);
            }
        }
        position++;
        return out.toString();
    }

    private void skip() {
        while (position < text.length() && text.charAt(position) <= ' ') position++;
    }
}
