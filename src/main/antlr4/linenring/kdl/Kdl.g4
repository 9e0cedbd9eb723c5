// Grammar of KDL 2.0.0 (kdl.dev/spec): nodes with arguments, properties and children. KdlNodeBuilder checks the rules that a grammar cannot express.
grammar Kdl;

document : nodes EOF ;
nodes : SEP* (node (SEP+ node)* SEP*)? ;
node : SLASHDASH? SEP? type? name=text entry* ;
entry : SLASHDASH? (property | value | children) ;
property : key=text '=' value ;
value : type? (text | number | KEYWORD) ;
children : '{' nodes '}' ;
type : '(' text ')' ;
text : IDENT | STRING | RAW | MULTILINE ;
number : NUMBER ;

SLASHDASH : '/-' ;
KEYWORD : '#true' | '#false' | '#null' | '#inf' | '#-inf' | '#nan' ;
RAW : '#' RAWBODY '#' ;
fragment RAWBODY : '#' RAWBODY '#' | '"' ~[\r\n]*? '"' ;
MULTILINE : '"""' NL .*? '"""' ;
STRING : '"' ( '\\' (["\\bfnrts] | 'u{' HEX+ '}' | [ \t\r\n]+) | ~["\\\r\n] )* '"' ;
NUMBER : [+-]? ( '0x' HEX (HEX | '_')* | '0o' [0-7] [0-7_]* | '0b' [01] [01_]* | DIGITS ('.' DIGITS)? ([eE] [+-]? DIGITS)? ) ;
fragment DIGITS : [0-9] [0-9_]* ;
fragment HEX : [0-9a-fA-F] ;
// Matches text such as 750ms, which is neither a number nor a valid identifier and must be quoted.
UNQUOTED : [+-]? '.'? [0-9] IDCHAR* ;
IDENT : IDCHAR+ ;
fragment IDCHAR : ~[\u0000-\u0020\\/(){};[\]"#=\u007F\u0085\u00A0\u1680\u2000-\u200F\u2028-\u202F\u205F\u2066-\u2069\u3000\uFEFF] ;
SEP : ( NL | ';' ) ;
fragment NL : '\r\n' | [\n\r\u000B\u000C\u0085\u2028\u2029] ;
LINE_COMMENT : '//' ~[\r\n]* -> skip ;
BLOCK_COMMENT : '/*' ( BLOCK_COMMENT | . )*? '*/' -> skip ;
GOES_ON : '\\' [ \t]* ('//' ~[\r\n]*)? NL -> skip ;
WS : [ \t\u00A0\u1680\u2000-\u200A\u202F\u205F\u3000\uFEFF]+ -> skip ;
STRAY : . ;
