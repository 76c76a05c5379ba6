"""Values that another writer may put into a stored object."""

MARK = '@broken@'
DEEP = 1500  # containers within each other
VALUES = {
    'lists in lists': b'[' * DEEP + b']' * DEEP,
    'objects in objects': b'{"a":' * DEEP + b'1' + b'}' * DEEP,
    'lists just too deep': b'[' * 40 + b']' * 40,
    'brackets in strings': b'["]}", ' + b'[' * DEEP + b']' * DEEP + b']',
    'escapes': b'["\\\\", "\\"", ' + b'[' * DEEP + b']' * DEEP + b']',
    'digits': b'9' * 5000,
    'a lone surrogate': b'"\\ud800"',
    'no UTF-8': b'"\xff\xfe"',
    'no JSON': b'nul',
    'a control character': b'"\x01"',
}
