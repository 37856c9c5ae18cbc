package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    /** Returns a map of the pairs of names and values in [content]. */
    static Map<String, Object> of(Object... content) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int i = 0; i < content.length; i += 2) result.put((String) content[i], content[i + 1]);
        return result;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        if (value instanceof String s) {
            out.append('"');
            for (char c : s.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                write(out, entry.getKey());
                out.append(':');
                write(out, entry.getValue());
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object entry : list) {
                out.append(comma);
                write(out, entry);
                comma = ",";
            }
            out.append(']');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        char c = next();
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at - 1;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        char c = next();
        while (c != '}') {
            if (c == ',') c = next();
            String name = string();
            next();
            result.put(name, value());
            c = next();
        }
        return result;
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        while (true) {
            char c = next();
            if (c == ']') return result;
            if (c != ',') at--;
            result.add(value());
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') return out.toString();
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 'r' -> out.append('\r');
                case 't' -> out.append('\t');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at++);
    }
}
